import type {ParsedLog, SettledLine} from './log-lines.ts';

/** Outcomes of the requests of a route that arrived in one time window. */
export interface RouteRow {
  /** Seconds from the first arrival in the log to the start of the window. */
  readonly fromSecond: number;
  readonly route: string;
  /** Requests whose first bytes were sent within the objective. */
  readonly inTime: number;
  readonly late: number;
  /** Requests that were rejected for lack of capacity. */
  readonly refused: number;
  readonly failed: number;
}

/** Number of requests of a route that were not answered for one reason. */
export interface ReasonRow {
  readonly route: string;
  readonly outcome: string;
  /** The reason, with placeholders for numbers and ids. */
  readonly reason: string;
  readonly count: number;
}

/** Calls to the upstreams of one stage service in one time window. */
export interface ServiceRow {
  readonly fromSecond: number;
  readonly service: string;
  readonly calls: number;
  readonly items: number;
  /** Average number of upstreams that were busy at the same time. */
  readonly busyUpstreams: number;
  /** Items that an upstream rejected for lack of memory. */
  readonly noRoom: number;
  /** Items whose inputs no longer existed. */
  readonly inputGone: number;
}

/** Summary tables of a log. */
export interface LogReport {
  readonly requestCount: number;
  readonly unreadableCount: number;
  readonly routes: readonly RouteRow[];
  readonly reasons: readonly ReasonRow[];
  readonly services: readonly ServiceRow[];
}

type RequestOutcome = 'inTime' | 'late' | 'refused' | 'failed';

const MS_PER_SECOND = 1000;

/** Summarizes a log in tables. @param windowSeconds Length of a time window. */
export function assembleReport(
  log: ParsedLog,
  windowSeconds: number,
): LogReport {
  const arrivals = log.settled.map(getArrivalMs);
  const calls = log.stageCalls.map(({time, tookMs}) => toMs(time) - tookMs);
  const startMs = Math.min(...arrivals, ...calls);
  const getWindowStart = (ms: number) =>
    Math.floor((ms - startMs) / MS_PER_SECOND / windowSeconds) * windowSeconds;
  return {
    requestCount: log.settled.length,
    unreadableCount: log.unreadableCount,
    routes: listRouteRows(log, getWindowStart),
    reasons: listReasons(log.settled),
    services: listServiceRows(log, getWindowStart, windowSeconds),
  };
}

function listRouteRows(
  log: ParsedLog,
  getWindowStart: (ms: number) => number,
): RouteRow[] {
  const rows = new Map<string, RouteRow & Record<RequestOutcome, number>>();
  for (const line of log.settled) {
    const fromSecond = getWindowStart(getArrivalMs(line));
    const key = `${line.route}/${fromSecond}`;
    const row = rows.get(key) ?? {
      fromSecond,
      route: line.route,
      inTime: 0,
      late: 0,
      refused: 0,
      failed: 0,
    };
    const requestOutcome = judgeOutcome(line);
    rows.set(key, {...row, [requestOutcome]: row[requestOutcome] + 1});
  }
  return [...rows.values()].sort(
    (left, right) =>
      left.route.localeCompare(right.route) ||
      left.fromSecond - right.fromSecond,
  );
}

function judgeOutcome(line: SettledLine): RequestOutcome {
  if (line.outcome === 'overloaded') return 'refused';
  if (line.outcome !== 'answered') return 'failed';
  const firstMs = line.firstMs ?? line.tookMs;
  return firstMs <= line.objectiveMs ? 'inTime' : 'late';
}

function listReasons(lines: readonly SettledLine[]): ReasonRow[] {
  const rows = new Map<string, ReasonRow>();
  for (const line of lines) {
    if (line.outcome === 'answered') continue;
    const reason = formatReason(line.reason);
    const key = `${line.route}/${line.outcome}/${reason}`;
    const count = (rows.get(key)?.count ?? 0) + 1;
    rows.set(key, {route: line.route, outcome: line.outcome, reason, count});
  }
  return [...rows.values()].sort((left, right) => right.count - left.count);
}

// Reasons that differ only in numbers or ids are counted as one.
function formatReason(reason: string): string {
  return reason
    .replace(/\b(?=[0-9a-z]*\d)[0-9a-z]{6,}\b/g, '#')
    .replace(/\d+/g, 'N');
}

function listServiceRows(
  log: ParsedLog,
  getWindowStart: (ms: number) => number,
  windowSeconds: number,
): ServiceRow[] {
  const rows = new Map<string, ServiceRow>();
  for (const call of log.stageCalls) {
    const fromSecond = getWindowStart(toMs(call.time) - call.tookMs);
    const key = `${call.service}/${fromSecond}`;
    const row = rows.get(key);
    const busy = call.tookMs / MS_PER_SECOND / windowSeconds;
    rows.set(key, {
      fromSecond,
      service: call.service,
      calls: (row?.calls ?? 0) + 1,
      items: (row?.items ?? 0) + call.items,
      busyUpstreams: (row?.busyUpstreams ?? 0) + busy,
      noRoom: (row?.noRoom ?? 0) + call.noRoom,
      inputGone: (row?.inputGone ?? 0) + call.inputGone,
    });
  }
  return [...rows.values()].sort(
    (left, right) =>
      left.service.localeCompare(right.service) ||
      left.fromSecond - right.fromSecond,
  );
}

function getArrivalMs({time, tookMs}: SettledLine): number {
  return toMs(time) - tookMs;
}

function toMs(time: string): number {
  return Date.parse(time);
}
