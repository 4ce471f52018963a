/** A crash of an upstream process while it ran a request. */
export interface UpstreamCrash {
  /** Id of the upstream's incarnation, which can crash only once. */
  readonly upstream: string;
  /** When the request was sent to it, in milliseconds of this instance's clock. */
  readonly sentAtMs: number;
  /** When the connection of that attempt broke, in milliseconds of this instance's clock. */
  readonly endedAtMs: number;
  /** Whether an upstream has answered the request since, so that it was not the cause. */
  readonly isRefuted: boolean;
}

/** A request during which upstreams have crashed; immutable, each change creates a new value. */
export interface Suspect {
  readonly fingerprint: string;
  readonly service: string;
  /** Workspace of the caller; empty for a public route. */
  readonly workspace: string;
  readonly isQuarantined: boolean;
  /** When a caller last sent it, to this instance or another one. */
  readonly seenAtMs: number;
  /** When this instance last recorded a crash, an answer or a quarantine. */
  readonly changedAtMs: number;
  readonly crashes: readonly UpstreamCrash[];
}

/** Number of sequential crashes from which on a request is quarantined. */
export const QUARANTINE_CRASHES = 3;
/** Maximum crashes stored per request; more do not change the decision. */
const MAX_CRASHES = 6;
/**
 * Tolerance for times in peer reports. They are sent as ages, which exclude the transit
 * time of the message.
 */
const AGE_TOLERANCE_MS = 50;

/**
 * Counts sequential crashes: each during an attempt that was sent after the previous crash.
 * Simultaneous crashes may have a common cause other than the request. For a request that
 * many callers send, they are no stronger evidence than a single crash.
 *
 * @param explained Ids of upstreams whose crash is attributed to another request.
 */
export function countSequentialCrashes(
  crashes: readonly UpstreamCrash[],
  explained: ReadonlySet<string>,
): number {
  const counted = crashes
    .filter(({isRefuted, upstream}) => !isRefuted && !explained.has(upstream))
    .sort((left, right) => left.endedAtMs - right.endedAtMs);
  let count = 0;
  let lastEndedAtMs = -Infinity;
  for (const {sentAtMs, endedAtMs} of counted) {
    if (sentAtMs < lastEndedAtMs - AGE_TOLERANCE_MS) continue;
    count += 1;
    lastEndedAtMs = endedAtMs;
  }
  return count;
}

/** Returns whether a request has a crash that is not refuted. */
export function isSuspected({crashes}: Suspect): boolean {
  return crashes.some(({isRefuted}) => !isRefuted);
}

/** Returns the suspect after an upstream answered its request: all crashes are refuted. */
export function recordServed(suspect: Suspect, nowMs: number): Suspect {
  return {
    ...suspect,
    isQuarantined: false,
    changedAtMs: nowMs,
    crashes: suspect.crashes.map(crash => ({...crash, isRefuted: true})),
  };
}

/**
 * Merges what two instances know of a request. A crash that either of them reports as
 * refuted stays refuted, so the order of messages is irrelevant.
 */
export function mergeSuspects(known: Suspect, reported: Suspect): Suspect {
  const crashes = mergeCrashes(known.crashes, reported.crashes);
  const isQuarantined =
    (known.isQuarantined || reported.isQuarantined) &&
    crashes.some(({isRefuted}) => !isRefuted);
  const merged = {...known, isQuarantined, crashes};
  return {
    ...merged,
    seenAtMs: Math.max(known.seenAtMs, reported.seenAtMs),
    changedAtMs: hasChanged(known, merged)
      ? reported.changedAtMs
      : known.changedAtMs,
  };
}

/** Returns whether the crashes or the quarantine differ from the known state. */
export function hasChanged(
  known: Suspect | undefined,
  suspect: Suspect,
): boolean {
  return (
    known?.isQuarantined !== suspect.isQuarantined ||
    known.crashes !== suspect.crashes
  );
}

// Returns `known` itself if nothing changes; `hasChanged` compares the references.
function mergeCrashes(
  known: readonly UpstreamCrash[],
  reported: readonly UpstreamCrash[],
): readonly UpstreamCrash[] {
  let merged = known;
  for (const crash of reported) {
    const index = merged.findIndex(({upstream}) => upstream === crash.upstream);
    if (index < 0) merged = addCrash(merged, crash);
    else if (crash.isRefuted && !merged[index].isRefuted) {
      merged = merged.with(index, {...merged[index], isRefuted: true});
    }
  }
  return merged;
}

// If the list is full, a new crash that is not refuted replaces a refuted one.
function addCrash(
  crashes: readonly UpstreamCrash[],
  crash: UpstreamCrash,
): readonly UpstreamCrash[] {
  if (crashes.length < MAX_CRASHES) return [...crashes, crash];
  const index = crashes.findIndex(({isRefuted}) => isRefuted);
  if (crash.isRefuted || index < 0) return crashes;
  return crashes.with(index, crash);
}
