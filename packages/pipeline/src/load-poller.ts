import {
  createTimeoutSignal,
  RepeatingTask,
  type Clock,
} from '@hollowstack/clock';
import {readJson, type HttpClient} from '@hollowstack/transport';
import {
  cacheEventSchema,
  loadReportSchema,
  type Upstream,
} from '@hollowstack/types';
import {z} from 'zod';
import type {GroupDirectory} from './group-directory.ts';
import type {UpstreamGroup} from './upstream-group.ts';

/**
 * Timeout in milliseconds of one call to an upstream. A report that takes longer
 * no longer describes the current load.
 */
const REPORT_TIMEOUT_MS = 800;
/** HTTP status. */
const OK = 200;

const cacheEventsSchema = z.object({events: z.array(cacheEventSchema)});

/** Polls load reports and cache events of this instance's upstreams. */
export class LoadPoller {
  private readonly groups: GroupDirectory;
  private readonly client: HttpClient;
  private readonly clock: Clock;
  private readonly task: RepeatingTask;
  private readonly abortController = new AbortController();

  /** @param pollMs Milliseconds between two polls of each upstream. */
  constructor(
    groups: GroupDirectory,
    client: HttpClient,
    clock: Clock,
    random: () => number,
    pollMs: number,
  ) {
    this.task = new RepeatingTask(clock, random, async () => {
      await this.pollAll();
      return pollMs;
    });
    this.groups = groups;
    this.client = client;
    this.clock = clock;
  }

  /** Polls until stopped. */
  start(): Promise<void> {
    return this.task.start();
  }

  stop(): void {
    this.task.stop();
    this.abortController.abort(new Error('stopped'));
  }

  private async pollAll(): Promise<void> {
    const polls = this.groups
      .listGroups()
      .flatMap(group =>
        group
          .getSettings()
          .upstreams.map(upstream => this.pollUpstream(group, upstream)),
      );
    await Promise.all(polls);
  }

  // Services need not report their load. An upstream that does not answer the
  // poll stays a candidate; only failed attempts count against it.
  private async pollUpstream(
    group: UpstreamGroup,
    upstream: Upstream,
  ): Promise<void> {
    const report = loadReportSchema.safeParse(
      await this.readPath(upstream, '/load'),
    );
    if (report.success) group.recordReport(upstream.id, report.data);
    if (!report.data?.tokensPerSecond) return;
    const lastSequence = group.getLastCacheSequence(upstream.id);
    const events = cacheEventsSchema.safeParse(
      await this.readPath(upstream, `/cache-events?after=${lastSequence}`),
    );
    if (events.success)
      group.recordCacheEvents(upstream.id, events.data.events);
  }

  private async readPath(upstream: Upstream, path: string): Promise<unknown> {
    const deadline = createTimeoutSignal(
      this.clock,
      REPORT_TIMEOUT_MS,
      () => new Error('report is late'),
      this.abortController.signal,
    );
    try {
      const response = await this.client.send(upstream.address, {
        method: 'GET',
        path,
        headers: {},
        body: new Uint8Array(0),
        signal: deadline.signal,
      });
      const answer = await readJson(response);
      return response.status === OK ? answer : undefined;
    } catch {
      return undefined;
    } finally {
      deadline.release();
    }
  }
}
