/** A mechanism that can be switched off by one change, and the test that then fails. */
export interface Proof {
  /** The promise that the mechanism keeps. */
  readonly promise: string;
  readonly mechanism: string;
  /** Path below packages/. */
  readonly file: string;
  readonly from: string;
  readonly to: string;
  /** Seed of the fuzz run that notices, or the test file that does. */
  readonly noticedBy: number | string;
}

/** Every mechanism that docs/PROOFS.md names. */
export const PROOFS: readonly Proof[] = [
  {
    promise: 'at most once',
    mechanism: 'a keyed call is claimed in the store before it is sent',
    file: 'entry/src/service-endpoint.ts',
    from: 'if (call.isRepeatable || key === undefined) {',
    to: 'if (call !== undefined || key === undefined) {',
    noticedBy: 1,
  },
  {
    promise: 'at most once',
    mechanism: 'what may have left is not sent a second time',
    file: 'admission/src/retry-decision.ts',
    from: "if (input.mayHaveRun && !input.isRepeatable) return 'not-repeatable';",
    to: '',
    noticedBy: 1,
  },
  {
    promise: 'at most once',
    mechanism: 'a store that was restored from a backup is noticed by its id',
    file: 'platform/src/store-identity.ts',
    from: 'if (storeId === this.verifiedId) return;',
    to: 'if (storeId !== this.verifiedId) return;',
    noticedBy: 2,
  },
  {
    promise: 'not run means not run',
    mechanism: 'ran: no is said only where no attempt may have begun',
    file: 'entry/src/request-scope.ts',
    from: "const ran = context.mayHaveRun() ? ranIfBegun : 'no';",
    to: "const ran = ranIfBegun === 'yes' ? 'no' : ranIfBegun;",
    noticedBy: 1,
  },
  {
    promise: 'no result lost, doubled or handed to another',
    mechanism: 'the attempt id that comes back is compared',
    file: 'pipeline/src/attempt.ts',
    from: 'if (echo !== undefined && echo !== this.attemptId) {',
    to: 'if (echo === undefined) {',
    noticedBy: 1,
  },
  {
    promise: 'no result lost, doubled or handed to another',
    mechanism: 'a cut stream goes on from the tokens that were received',
    file: 'pipeline/src/stage-calls.ts',
    from: "prompt: this.prompt + this.received.join(''),",
    to: 'prompt: this.prompt,',
    noticedBy: 1,
  },
  {
    promise: 'every caller has its whole answer',
    mechanism: 'a stream without its end marker is not whole',
    file: 'pipeline/src/stage-calls.ts',
    from: "throw new AttemptError('broken', 'the stream ended without its end marker');",
    to: 'return;',
    noticedBy: 1,
  },
  {
    promise: 'every caller is answered at once',
    mechanism: 'the deadline ends the request on this side',
    file: 'entry/src/request-scope.ts',
    from: 'deadlineMs - clock.getNow(),',
    to: '10 * (deadlineMs - clock.getNow()),',
    noticedBy: 1,
  },
  {
    promise: 'a leaving upstream gets no new work',
    mechanism: "the platform's list takes an upstream out",
    file: 'entry/src/leaving-upstreams.ts',
    from: "list.getInstance(name, id)?.state === 'leaving';",
    to: 'list.getInstance(name, id) === undefined;',
    noticedBy: 1,
  },
  {
    promise: 'a leaving upstream gets no new work',
    mechanism: 'after a pause the list is read before work is sent',
    file: 'pipeline/src/group-runner.ts',
    from: 'await this.parts.waitUntilFresh();',
    to: '',
    noticedBy: 'fuzz/src/found-failures.test.ts',
  },
  {
    promise: 'a planned stop cuts no request',
    mechanism: 'the process stays until its requests have ended',
    file: 'entry/src/daemon.ts',
    from: 'const isClean = await Promise.race([isIdle, isLate]);',
    to: 'const isClean = true;',
    noticedBy: 1,
  },
  {
    promise: 'a configuration never reverts',
    mechanism: 'an offer of a lower revision is refused',
    file: 'config-log/src/holder.ts',
    from: "if (revision < this.current.revision) return 'older-refused';",
    to: "if (revision < this.current.revision) return 'in-force';",
    noticedBy: 1,
  },
  {
    promise: 'an accepted configuration is in force everywhere',
    mechanism: 'a newer revision replaces the one in force',
    file: 'config-log/src/holder.ts',
    from: "if (!this.current || revision > this.current.revision) return 'in-force';",
    to: "if (!this.current) return 'in-force';",
    noticedBy: 1,
  },
  {
    promise: 'an accepted configuration is in force everywhere',
    mechanism: 'a publish is written only on top of the head it was planned on',
    file: 'config-log/src/publisher.ts',
    from: '{key: HEAD_KEY, modRevision: stored.headModRevision},',
    to: '',
    noticedBy: 3,
  },
];
