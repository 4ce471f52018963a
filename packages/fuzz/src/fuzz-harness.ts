import {ManualClock} from '@hollowstack/clock';
import type {Problem} from '@hollowstack/errors';
import {
  LocalSystem,
  MemoryNetwork,
  createSampleConfiguration,
  createSeededRandom,
  type LocalInstance,
  type LocalUpstream,
  type SystemCaller,
} from '@hollowstack/local-system';
import {getInstanceKey} from '@hollowstack/store';
import type {PlatformFaults} from '@hollowstack/stand-ins';
import type {ConfigObject} from '@hollowstack/types';
import type {Outcome, SentRequest} from './sent-request.ts';

/** A configuration change whose publication was answered with success. */
export interface AcceptedChange {
  readonly changeId: string;
  readonly revision: number;
  /** Instances that had the change in force when it was accepted and have not been killed or paused since. */
  readonly instancesInForce: Set<string>;
}

/** A period in which the platform's instance list reports an upstream as leaving. */
export interface LeavingRecord {
  readonly upstream: string;
  readonly fromMs: number;
  untilMs: number;
}

const INSTANCES = 3;
const PROMISE_TIMEOUT_MS = 30_000;
const MAX_LATENCY_MS = 4;
/** Delay between a drain and the end of the process, in which its last bytes arrive. */
const FINAL_DELIVERY_MS = 50;
const DEADLINES_MS = {chat: 2000, summary: 8000, booking: 2000};

/** A complete system on a manual clock, with a record of all requests and their outcomes. */
export class FuzzHarness {
  readonly clock = new ManualClock();
  readonly network: MemoryNetwork;
  readonly system: LocalSystem;
  readonly requests: SentRequest[] = [];
  readonly acceptedChanges: AcceptedChange[] = [];
  readonly leavingRecords: LeavingRecord[] = [];
  readonly revisionRegressions: string[] = [];
  /** Whether the store was restored from a backup at any time. */
  wasRestored = false;
  /** Whether instances may have been unable to read the platform's instance list at any time. */
  wasListUnreadable = false;
  private readonly random: () => number;
  private nextSubject = 1;

  /** @param seed Determines latencies and every random choice of the daemons. */
  constructor(seed: number) {
    this.random = createSeededRandom(seed);
    this.network = new MemoryNetwork(this.clock, {
      getLatencyMs: () => this.random() * MAX_LATENCY_MS,
    });
    this.system = new LocalSystem(this.network, {
      instances: INSTANCES,
      encoders: 2,
      retrievers: 1,
      rerankers: 1,
      engines: 2,
      bookings: 2,
      random: this.random,
      applyToSettings: settings => ({
        ...settings,
        drain: {graceMs: 500, limitMs: 20_000},
        limits: {...settings.limits, reportPollMs: 2500},
      }),
    });
  }

  /** Starts the system and waits until the sample configuration is in force. */
  async start(): Promise<void> {
    await this.waitForPromise(this.system.start());
    await this.waitForPromise(this.system.publish());
    await this.waitForPromise(this.system.waitUntilReady());
    for (const instance of this.system.instances) this.watchRevisions(instance);
    this.acceptedChanges.push({
      changeId: 'setup',
      revision: 1,
      instancesInForce: this.listInstancesInForce(1),
    });
  }

  /**
   * Advances the clock until a promise settles.
   *
   * @throws Error if it does not settle within `PROMISE_TIMEOUT_MS`.
   */
  waitForPromise<T>(promise: Promise<T>): Promise<T> {
    return this.clock.advanceUntil(promise, PROMISE_TIMEOUT_MS);
  }

  getInstance(index: number): LocalInstance {
    return this.system.instances[index % this.system.instances.length];
  }

  /** Sends a pipeline request; its outcome is recorded once the clock has advanced far enough. */
  sendPipeline(
    index: number,
    pipeline: 'chat' | 'summary',
    isStreamed: boolean,
  ): void {
    const subject = `question ${this.nextSubject++}`;
    const request = this.addRequest(
      index,
      isStreamed ? 'stream' : 'whole',
      subject,
      pipeline,
      undefined,
    );
    const caller = this.createCaller(index);
    const outcome: Promise<Outcome> = isStreamed
      ? caller
          .runStreamedPipeline('lima-centro', pipeline, subject)
          .then(({text, end, problem}) => ({
            type: 'stream',
            text,
            isComplete: end !== undefined,
            problem,
          }))
      : caller
          .runPipeline(
            'lima-centro',
            pipeline,
            subject,
            {},
            request.controller.signal,
          )
          .then(answer => ({type: 'answer', answer}));
    this.followOutcome(request, outcome);
  }

  /** Sends a booking with or without an idempotency key. */
  sendBooking(index: number, hasKey: boolean): void {
    const number = this.nextSubject++;
    const key = hasKey ? `key-${number}` : undefined;
    this.sendBookingCall(index, `booking-${number}`, key);
  }

  /** Sends an earlier booking again with its idempotency key; does nothing if there is none. */
  sendBookingAgain(index: number, which: number): void {
    const keyed = this.requests.filter(
      ({idempotencyKey}) => idempotencyKey !== undefined,
    );
    if (keyed.length === 0) return;
    const {subject, idempotencyKey} = keyed[which % keyed.length];
    this.sendBookingCall(index, subject, idempotencyKey);
  }

  /** Disconnects a caller that waits for an answer; does nothing if there is none. */
  cancelCaller(which: number): void {
    const waiting = this.requests.filter(
      ({outcome, kind}) => outcome === undefined && kind !== 'stream',
    );
    if (waiting.length === 0) return;
    const request = waiting[which % waiting.length];
    request.isCallerDisconnected = true;
    request.controller.abort(new Error('caller gone'));
  }

  /** Kills an instance and starts a replacement. */
  async killInstance(index: number): Promise<void> {
    const instance = this.getInstance(index);
    this.recordInstanceFault(instance);
    this.network.getProcess(instance.id).kill();
    await this.network.stopServing(instance.address);
    this.system.removeInstance(instance);
    await this.startInstance();
  }

  pauseInstance(index: number): void {
    const instance = this.getInstance(index);
    this.recordInstanceFault(instance);
    this.network.getProcess(instance.id).pause();
  }

  resumeInstances(): void {
    for (const {id} of this.system.instances)
      this.network.getProcess(id).resume();
  }

  /** Drains an instance and starts a replacement; does nothing if there is only one instance. */
  async drainInstance(index: number): Promise<void> {
    if (this.system.instances.length <= 1) return;
    const instance = this.getInstance(index);
    this.system.removeInstance(instance);
    void instance.daemon
      .drain()
      .then(() =>
        this.clock.schedule(FINAL_DELIVERY_MS, () => this.endProcess(instance)),
      );
    await this.startInstance();
  }

  /** Ends the process of an instance after its drain. */
  private endProcess(instance: LocalInstance): void {
    this.network.getProcess(instance.id).kill();
    void this.network.stopServing(instance.address);
  }

  /** Lists an upstream as leaving or as live in the platform's instance list. */
  setListedLeaving(index: number, isLeaving: boolean): void {
    const {group, upstream} = this.getListedUpstream(index);
    const state = isLeaving ? 'leaving' : 'live';
    this.system.platform.putValue(
      getInstanceKey(group, upstream.upstream.id),
      JSON.stringify({...upstream.upstream, state}),
    );
    this.recordLeaving(upstream.upstream.id, isLeaving);
  }

  /** Publishes, through one instance, a change of the expected time of one pool. */
  publishChange(index: number, pool: number): void {
    const instance = this.getInstance(index);
    const changeId = `change-${this.nextSubject++}`;
    const objects = this.createChange(pool);
    const caller = this.createCaller(index);
    void caller
      .callOperator('POST', 'configuration', {
        changeId,
        author: instance.id,
        objects,
      })
      .then(
        ({status, body}) => {
          if (status !== 200) return;
          const {revision} = body as {revision: number};
          this.acceptedChanges.push({
            changeId,
            revision,
            instancesInForce: this.listInstancesInForce(revision),
          });
        },
        () => {},
      );
  }

  /** Sets faults of the platform's key-value service. */
  setPlatformFaults(faults: Partial<PlatformFaults>): void {
    this.wasListUnreadable ||=
      faults.isDown === true ||
      faults.isStale === true ||
      faults.isWatchSilent === true ||
      (faults.delayMs ?? 0) > 0;
    this.system.platform.setFaults(faults);
  }

  /** Restores the store from its last backup, if any. */
  restoreStore(): void {
    this.wasRestored = true;
    this.wasListUnreadable = true;
    this.system.platform.restoreBackup();
  }

  /** Ends every fault and advances the clock, so that pending requests complete. */
  async endFaults(recoveryMs: number): Promise<void> {
    this.resumeInstances();
    this.system.platform.setFaults({
      isDown: false,
      delayMs: 0,
      lostReplies: 0,
      isStale: false,
      isWatchSilent: false,
      callsPerSecond: 0,
    });
    this.network.removePartitions();
    for (const standIn of this.system.listStandIns()) {
      standIn.faults.setSetting({mode: 'ok', slowFactor: 1});
    }
    await this.clock.advance(recoveryMs);
  }

  listUpstreams(): LocalUpstream[] {
    const {encoders, retrievers, rerankers, engines, bookings} = this.system;
    return [...encoders, ...retrievers, ...rerankers, ...engines, ...bookings];
  }

  private async startInstance(): Promise<void> {
    const instance = await this.system.startInstance();
    this.watchRevisions(instance);
  }

  private watchRevisions(instance: LocalInstance): void {
    const {holder} = instance.daemon.parts;
    let highest = holder.getRevision();
    holder.addListener(({revision}) => {
      if (revision <= highest) {
        this.revisionRegressions.push(
          `${instance.id} went from revision ${highest} to ${revision}`,
        );
      }
      highest = revision;
    });
  }

  private createCaller(index: number): SystemCaller {
    return this.system.createCaller(this.getInstance(index));
  }

  private sendBookingCall(
    index: number,
    subject: string,
    key: string | undefined,
  ): void {
    const request = this.addRequest(index, 'booking', subject, undefined, key);
    const outcome = this.createCaller(index)
      .send(
        'POST',
        '/v1/workspaces/lima-centro/services/booking/bookings',
        {id: subject},
        key === undefined ? {} : {'idempotency-key': key},
        request.controller.signal,
      )
      .then((answer): Outcome => ({type: 'answer', answer}));
    this.followOutcome(request, outcome);
  }

  private addRequest(
    index: number,
    kind: SentRequest['kind'],
    subject: string,
    pipeline: SentRequest['pipeline'],
    idempotencyKey: string | undefined,
  ): SentRequest {
    const instance = this.getInstance(index);
    const request: SentRequest = {
      kind,
      instance: instance.id,
      subject,
      pipeline,
      idempotencyKey,
      sentAtMs: this.clock.getNow(),
      deadlineMs: DEADLINES_MS[pipeline ?? 'booking'],
      controller: new AbortController(),
      isCallerDisconnected: false,
      isInstanceFaulted: !this.network.getProcess(instance.id).isRunning(),
      outcome: undefined,
      settledAtMs: 0,
    };
    this.requests.push(request);
    return request;
  }

  private followOutcome(request: SentRequest, outcome: Promise<Outcome>): void {
    const settle = (settled: Outcome) => {
      request.outcome = settled;
      request.settledAtMs = this.clock.getNow();
    };
    outcome.then(settle, (error: unknown) =>
      settle({type: 'broken', message: String(error)}),
    );
  }

  private recordInstanceFault(instance: LocalInstance): void {
    for (const request of this.requests) {
      if (request.instance === instance.id && request.outcome === undefined) {
        request.isInstanceFaulted = true;
      }
    }
    for (const change of this.acceptedChanges) {
      change.instancesInForce.delete(instance.id);
    }
  }

  private recordLeaving(upstream: string, isLeaving: boolean): void {
    const nowMs = this.clock.getNow();
    const openRecord = this.leavingRecords.find(
      record => record.upstream === upstream && record.untilMs === Infinity,
    );
    if (isLeaving && !openRecord) {
      this.leavingRecords.push({upstream, fromMs: nowMs, untilMs: Infinity});
    } else if (!isLeaving && openRecord) {
      openRecord.untilMs = nowMs;
    }
  }

  private listInstancesInForce(revision: number): Set<string> {
    const instances = this.system.instances.filter(
      ({daemon}) => daemon.parts.holder.getRevision() >= revision,
    );
    return new Set(instances.map(({id}) => id));
  }

  private getListedUpstream(index: number): {
    group: string;
    upstream: LocalUpstream;
  } {
    const {encoders, engines} = this.system;
    const listed = [
      ...encoders.map(upstream => ({group: 'encode-pool', upstream})),
      ...engines.map(upstream => ({group: 'generate-pool', upstream})),
    ];
    return listed[index % listed.length];
  }

  private createChange(pool: number): ConfigObject[] {
    const pools = createSampleConfiguration(this.system.listUpstreams()).filter(
      object => object.kind === 'pool',
    );
    const chosenPool = pools[pool % pools.length];
    const expectedMs = chosenPool.value.expectedMs + this.nextSubject / 1000;
    return [{kind: 'pool', value: {...chosenPool.value, expectedMs}}];
  }
}

/** Returns the problem details of an outcome, if any. */
export function getProblem(outcome: Outcome): Problem | undefined {
  if (outcome.type === 'answer') return outcome.answer.problem;
  return outcome.type === 'stream' ? outcome.problem : undefined;
}
