/** A life of an upstream that ended while it ran a request. */
export interface UpstreamCrash {
  /** Id of the upstream's life; one life crashes once. */
  readonly upstream: string;
  /** When the request was sent there, in milliseconds of this instance's clock. */
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** Whether the same request was answered since, so that it was not the cause. */
  readonly isRefuted: boolean;
}

/** A request under which upstreams have crashed; a plain value that transitions replace. */
export interface Suspect {
  readonly fingerprint: string;
  readonly service: string;
  /** Workspace of the caller; empty for a public route. */
  readonly workspace: string;
  readonly isQuarantined: boolean;
  /** When a caller last sent it, here or elsewhere. */
  readonly seenAtMs: number;
  /** When this instance last learnt of a crash, an answer or a verdict. */
  readonly changedAtMs: number;
  readonly crashes: readonly UpstreamCrash[];
}

/** Crashes one after the other by which a request is taken for their cause. */
export const QUARANTINE_CRASHES = 3;
/** Crashes kept of one request; more do not change the verdict. */
const MAX_CRASHES = 6;
/**
 * Milliseconds by which times that peers tell may be off: they are told as ages, and a
 * message takes its time.
 */
const AGE_TOLERANCE_MS = 50;

/**
 * Counts crashes that followed one another: each under an attempt that was sent after
 * the one before had ended. Crashes at the same time may have one cause of their own,
 * and say of a request that many send no more than one of them does.
 *
 * @param explained Lives whose crash is put down to another request.
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

/** Returns whether a crash is held against a request. */
export function isSuspected({crashes}: Suspect): boolean {
  return crashes.some(({isRefuted}) => !isRefuted);
}

/** Returns the suspect after a request was answered: no crash so far is held against it. */
export function recordServed(suspect: Suspect, nowMs: number): Suspect {
  return {
    ...suspect,
    isQuarantined: false,
    changedAtMs: nowMs,
    crashes: suspect.crashes.map(crash => ({...crash, isRefuted: true})),
  };
}

/**
 * Joins what two instances know of a request. A crash that one of them knows to be refuted
 * stays so, which makes the order of messages irrelevant.
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

/** Returns whether there is anything about a request that was not known. */
export function hasChanged(
  known: Suspect | undefined,
  suspect: Suspect,
): boolean {
  return (
    known?.isQuarantined !== suspect.isQuarantined ||
    known.crashes !== suspect.crashes
  );
}

// Returns `known` itself where nothing is added.
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

// Where the list is full, a refuted crash gives way to one that is not.
function addCrash(
  crashes: readonly UpstreamCrash[],
  crash: UpstreamCrash,
): readonly UpstreamCrash[] {
  if (crashes.length < MAX_CRASHES) return [...crashes, crash];
  const index = crashes.findIndex(({isRefuted}) => isRefuted);
  if (crash.isRefuted || index < 0) return crashes;
  return crashes.with(index, crash);
}
