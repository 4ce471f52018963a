import type {EngineDirectory} from '@hollowstack/assignment';
import {
  chooseCoordinator,
  type Membership,
  type NotificationQueue,
  type PeerLink,
} from '@hollowstack/peers';
import type {CachedPromptsReader} from './cached-prompts-reader.ts';
import type {AssignmentProgress, AssignmentRequest} from '@hollowstack/types';

/** Dependencies of EngineAssigner. */
export interface EngineAssignerParts {
  readonly link: PeerLink;
  readonly notifications: NotificationQueue;
  readonly membership: Membership;
  /** This instance's own directory; used while it coordinates or the coordinator fails. */
  readonly localDirectory: EngineDirectory;
  readonly cachedPrompts: CachedPromptsReader;
}

/** The upstream that a request is assigned to. */
export interface UpstreamAssignment {
  readonly id: string;
  readonly failureDomain: string;
}

/** Milliseconds for the coordinator's reply; after them the local directory is used. */
const ASSIGN_TIMEOUT_MS = 80;

/** Asks the coordinator which engine a request should go to. */
export class EngineAssigner {
  private readonly parts: EngineAssignerParts;

  constructor(parts: EngineAssignerParts) {
    this.parts = parts;
  }

  /** Resolves to undefined if no engine is known that could take the request. */
  async askForEngine(
    request: AssignmentRequest,
  ): Promise<UpstreamAssignment | undefined> {
    const {link, localDirectory, membership} = this.parts;
    const coordinator = chooseCoordinator(membership);
    if (!coordinator) {
      this.parts.cachedPrompts.readCachedPrompts(request.service);
      return localDirectory.reserveEngine(request);
    }
    const reply = await link
      .sendRequest(
        coordinator.address,
        {type: 'assign', request},
        ASSIGN_TIMEOUT_MS,
      )
      .catch((): undefined => undefined);
    if (reply?.type !== 'assigned')
      return localDirectory.reserveEngine(request);
    const {upstreamId, failureDomain} = reply;
    if (upstreamId === undefined || failureDomain === undefined)
      return undefined;
    return {id: upstreamId, failureDomain};
  }

  /** Records the progress of a request in the local directory and reports it to the coordinator. */
  recordProgress(progress: AssignmentProgress): void {
    const {notifications, localDirectory, membership} = this.parts;
    localDirectory.recordProgress(progress);
    const coordinator = chooseCoordinator(membership);
    if (!coordinator) return;
    // Not retried: a coordinator that is gone has lost the assignment as well.
    notifications
      .sendNotification(coordinator.address, {
        type: 'assignment-progress',
        progress,
      })
      .catch(() => {});
  }
}
