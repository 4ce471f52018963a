import type {Clock} from '@hollowstack/clock';
import type {PeerLink, PeerRecord} from '@hollowstack/peers';
import {listByRendezvous} from '@hollowstack/routing';

/** Dependencies of PartTrials. */
export interface PartTrialsParts {
  readonly clock: Pick<Clock, 'getNow'>;
  readonly link: Pick<PeerLink, 'sendRequest'>;
  readonly getSelfId: () => string;
  /** Lists the peers that are expected to reply. */
  readonly listPeers: () => readonly PeerRecord[];
}

/** Milliseconds between two trials for the same verdict, in the whole fleet. */
const TRIAL_INTERVAL_MS = 2000;
/** Milliseconds for the peer that decides to reply. */
const REPLY_TIMEOUT_MS = 150;
/** Maximum number of verdicts whose last trial is remembered. */
const MAX_REMEMBERED = 256;

/**
 * Decides which uncertain requests are tried. One instance decides for each verdict, chosen
 * by rendezvous hashing of its key, so that all instances together try one at a time.
 */
export class PartTrials {
  private readonly parts: PartTrialsParts;
  /** When the last trial for each verdict was granted here. */
  private readonly grantedAtMs = new Map<string, number>();

  constructor(parts: PartTrialsParts) {
    this.parts = parts;
  }

  /** Asks for the right to try a request; without a reply there is none. */
  async acquireTrial(key: string): Promise<boolean> {
    const {link, getSelfId} = this.parts;
    const peers = this.parts
      .listPeers()
      .filter(({acceptedRequests}) => acceptedRequests?.includes('part-trial'));
    const ids = [getSelfId(), ...peers.map(({id}) => id)];
    const [deciderId] = listByRendezvous(key, ids);
    const decider = peers.find(({id}) => id === deciderId);
    if (!decider) return this.grantTrial(key);
    const reply = await link
      .sendRequest(decider.address, {type: 'part-trial', key}, REPLY_TIMEOUT_MS)
      .catch((): undefined => undefined);
    return reply?.type === 'part-trial' && reply.isGranted;
  }

  /** Grants a trial for a verdict unless the last one was granted too recently. */
  grantTrial(key: string): boolean {
    const nowMs = this.parts.clock.getNow();
    const lastMs = this.grantedAtMs.get(key) ?? -Infinity;
    if (nowMs - lastMs < TRIAL_INTERVAL_MS) return false;
    this.grantedAtMs.delete(key);
    this.grantedAtMs.set(key, nowMs);
    if (this.grantedAtMs.size > MAX_REMEMBERED) {
      const [oldest] = this.grantedAtMs.keys();
      this.grantedAtMs.delete(oldest);
    }
    return true;
  }
}
