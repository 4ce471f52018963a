import type {ParsedLog, SettledLine} from './log-lines.ts';

/** What became of the requests of a route that arrived in one window. */
export interface RouteRow {
  /** Seconds from the first arrival in the log to the start of the window. */
  readonly fromSecond: number;
  readonly route: string;
  /** First bytes within the objective. */
  readonly inTime: number;
  readonly late: number;
  /** Refused for want of capacity. */
  readonly refused: number;
  readonly failed: number;
}

/** Requests of a route that were not answered, by their reason. */
export interface ReasonRow {
  readonly route: string;
  readonly outcome: string;
  /** The reason with its numbers and ids left out. */
  readonly reason: string;
  readonly count: number;
}

/** Calls to the upstreams of one stage service in one window. */
export interface ServiceRow {
  readonly fromSecond: number;
  readonly service: string;
  readonly calls: number;
  readonly items: number;
  /** Upstreams that were at work at a time, on average. */
  readonly busyUpstreams: number;
  /** Items that an upstream had no memory for. */
  readonly noRoom: number;
  /** Items whose inputs were gone. */
  readonly inputGone: number;
}

/** Tables made from a log. */
export interface LogReport {
  readonly requestCount: number;
  readonly unreadableCount: number;
  readonly routes: readonly RouteRow[];
  readonly reasons: readonly ReasonRow[];
  readonly services: readonly ServiceRow[];
}

type Fate = 'inTime' | 'late' | 'refused' | 'failed';

/** Milliseconds in a second. */
const MS_PER_SECOND = 1000;

/** Assembles the tables of a log. @param windowSeconds Length of a window. */
export function assembleReport(
  log: ParsedLog,
  windowSeconds: number,
): LogReport {
  const arrivals = log.settled.map(getArrivalMs);
  const calls = log.stageCalls.map(({time, tookMs}) => toMs(time) - tookMs);
  const startMs = Math.min(...arrivals, ...calls);
  const getWindow = (ms: number) =>
    Math.floor((ms - startMs) / MS_PER_SECOND / windowSeconds) * windowSeconds;
  return {
    requestCount: log.settled.length,
    unreadableCount: log.unreadableCount,
    routes: listRouteRows(log, getWindow),
    reasons: listReasons(log.settled),
    services: listServiceRows(log, getWindow, windowSeconds),
  };
}

function listRouteRows(
  log: ParsedLog,
  getWindow: (ms: number) => number,
): RouteRow[] {
  const rows = new Map<string, RouteRow & Record<Fate, number>>();
  for (const line of log.settled) {
    const fromSecond = getWindow(getArrivalMs(line));
    const key = `${line.route}/${fromSecond}`;
    const row = rows.get(key) ?? {
      fromSecond,
      route: line.route,
      inTime: 0,
      late: 0,
      refused: 0,
      failed: 0,
    };
    const fate = judgeFate(line);
    rows.set(key, {...row, [fate]: row[fate] + 1});
  }
  return [...rows.values()].sort(
    (left, right) =>
      left.route.localeCompare(right.route) ||
      left.fromSecond - right.fromSecond,
  );
}

function judgeFate(line: SettledLine): Fate {
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

// Reasons that differ only in a figure or an id are one reason.
function formatReason(reason: string): string {
  return reason
    .replace(/\b(?=[0-9a-z]*\d)[0-9a-z]{6,}\b/g, '#')
    .replace(/\d+/g, 'N');
}

function listServiceRows(
  log: ParsedLog,
  getWindow: (ms: number) => number,
  windowSeconds: number,
): ServiceRow[] {
  const rows = new Map<string, ServiceRow>();
  for (const call of log.stageCalls) {
    const fromSecond = getWindow(toMs(call.time) - call.tookMs);
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
