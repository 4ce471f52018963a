import {z} from 'zod';

/** One incarnation of an instance; a later start with the same id is another one. */
export const resultOwnerSchema = z.object({
  /** Id of the instance. */
  instance: z.string(),
  /** When it started, in Unix milliseconds of its own clock. */
  startedAtMs: z.number(),
});
/** One incarnation of an instance, the only reader of the results it requested. */
export type ResultOwner = z.infer<typeof resultOwnerSchema>;

/** The work items of one stage of one request, which are executed together. */
export const stageJobSchema = z.object({
  /** Id of this submission; a resubmitted job gets a new one. */
  jobId: z.string(),
  requestId: z.string(),
  /** Reader of the results; absent if an instance of an older version asks. */
  owner: resultOwnerSchema.optional(),
  service: z.string(),
  /** Index of the stage in its route. */
  stage: z.number().int().nonnegative(),
  /** Identifies route and stage; statistics are collected under this key. */
  stageKey: z.string(),
  pieceCount: z.number().int().positive(),
  /** Input of the work items of a stage that reads no earlier results. */
  key: z.string().optional(),
  /** Handles of all results that this stage reads. */
  inputs: z.array(z.string()),
  /** Whether no other stage reads the inputs; absent means unknown. */
  isOnlyReader: z.boolean().optional(),
  /** Approximate size of one result in bytes. */
  resultBytes: z.number().nonnegative(),
  /** Milliseconds until the request's objective; negative once it is missed. */
  dueInMs: z.number(),
  /**
   * Milliseconds of the remaining time that are reserved in case the stages after this
   * job take longer than predicted; absent means none.
   */
  reserveMs: z.number().nonnegative().optional(),
  /** Milliseconds until the request is abandoned. */
  remainingMs: z.number(),
  /** 0 is the most urgent. */
  priority: z.number(),
  /** Failure domain in which the inputs are stored or the results will be read. */
  failureDomain: z.string().optional(),
  /** Bytes that cross failure domains if the job runs outside its own. */
  crossingBytes: z.number().nonnegative(),
  /** Whether upstreams crashed while they ran the request; its calls are not shared. */
  isIsolated: z.boolean().optional(),
  /** Whether another instance has passed the job on, so that the receiver runs it itself. */
  isForwarded: z.boolean().optional(),
});
/** The work items of one stage of one request, which are executed together. */
export type StageJob = z.infer<typeof stageJobSchema>;

/** A result that an upstream stores until it is released. */
export const stageResultSchema = z.object({
  handle: z.string(),
  /** Address of the upstream that stores the result. */
  address: z.string(),
  failureDomain: z.string(),
});
/** A result that an upstream stores until it is released. */
export type StageResult = z.infer<typeof stageResultSchema>;
/** A result whose reader is known. */
export type OwnedResult = StageResult & {readonly owner: ResultOwner};

/** Reasons why a job has no results. */
export const STAGE_FAILURES = [
  'late',
  'input-gone',
  'failed',
  'overloaded',
  'cancelled',
] as const;
/** Reason why a job has no results. */
export type StageFailure = (typeof STAGE_FAILURES)[number];

/** A call whose connection broke; the call may have crashed its upstream. */
const brokenCallSchema = z.object({
  upstream: z.object({
    id: z.string(),
    address: z.string(),
    service: z.string(),
  }),
  /** Milliseconds since the call was sent. */
  sentAgoMs: z.number(),
  /** Milliseconds since its connection broke. */
  endedAgoMs: z.number(),
});
/** A call whose connection broke; the call may have crashed its upstream. */
export type BrokenCall = z.infer<typeof brokenCallSchema>;

/** Outcome of a job; results are in the order of its work items. */
export const stageOutcomeSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('made'),
    results: z.array(stageResultSchema),
    /** Whether the job's inputs have been released already; absent means no. */
    areInputsReleased: z.boolean().optional(),
  }),
  z.object({
    type: z.literal('failed'),
    failure: z.enum(STAGE_FAILURES),
    message: z.string(),
    /** Milliseconds after which to retry, if known. */
    retryAfterMs: z.number().nonnegative().optional(),
    /** Calls of the job whose connection broke; absent if there were none. */
    brokenCalls: z.array(brokenCallSchema).optional(),
  }),
]);
/** Outcome of a job. */
export type StageOutcome = z.infer<typeof stageOutcomeSchema>;

/** Copy of the store's entries about upstreams at one revision. */
export const storeCopySchema = z.object({
  storeRevision: z.number(),
  entries: z.array(z.object({key: z.string(), value: z.string()})),
});
/** Copy of the store's entries about upstreams at one revision. */
export type StoreCopy = z.infer<typeof storeCopySchema>;

/** One stage of a request, as input of admission. */
export const stageStepSchema = z.object({
  service: z.string(),
  /** Identifies route and stage; statistics are collected under this key. */
  stageKey: z.string(),
  /** Approximate size of one result in bytes. */
  resultBytes: z.number().nonnegative(),
  pieceCount: z.number().int().nonnegative(),
  /** Indexes of the steps that must finish before this one. */
  after: z.array(z.number().int().nonnegative()),
});
/** One stage of a request, as input of admission. */
export type StageStep = z.infer<typeof stageStepSchema>;

/** Asks whether the stages of a request can finish in time. */
export const stageAdmissionRequestSchema = z.object({
  requestId: z.string(),
  /** Identifies the route; statistics are collected under this key. */
  route: z.string(),
  steps: z.array(stageStepSchema),
  /**
   * Milliseconds that the request itself takes until its first bytes, estimated by the
   * asking instance.
   */
  requestMs: z.number(),
  /** Tokens of the prompt that are shared with no other request. */
  ownTokens: z.number().nonnegative().default(0),
  /** Milliseconds until the request's objective. */
  dueInMs: z.number(),
  /** Milliseconds until the request is abandoned. */
  remainingMs: z.number(),
  priority: z.number(),
  /** Whether the caller has enough time for a retry. */
  mayComeBack: z.boolean(),
  /** Whether another instance has passed the question on, so that the receiver answers it itself. */
  isForwarded: z.boolean().optional(),
});
/** Asks whether the stages of a request can finish in time. */
export type StageAdmissionRequest = z.infer<typeof stageAdmissionRequestSchema>;
