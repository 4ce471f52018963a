import {
  assignmentProgressSchema,
  assignmentRequestSchema,
  callOutcomeSchema,
  configurationSnapshotSchema,
  decisionSchema,
  grantDecisionSchema,
  grantRequestSchema,
  limitReportSchema,
  stageAdmissionRequestSchema,
  stageJobSchema,
  stageOutcomeSchema,
  stageResultSchema,
  storeCopySchema,
  suspectReportSchema,
} from '@hollowstack/types';
import {z} from 'zod';
import {compressedTextSchema} from './compressed-text.ts';

const peerRecordSchema = z.object({
  id: z.string(),
  /** Address of the peer link. */
  address: z.string(),
  failureDomain: z.string(),
  /** Processor it has, in cores of usual speed; unlike machines get unlike work. */
  cores: z.number().positive().optional(),
  /**
   * When it started, in Unix milliseconds of its own clock: tells its lives apart.
   * Absent where it is of an older version.
   */
  startedAtMs: z.number().optional(),
});
/** One instance as its peers know it. */
export type PeerRecord = z.infer<typeof peerRecordSchema>;
export {peerRecordSchema};

const evacuationStateSchema = z.object({
  /** Store revision up to which this is all. */
  storeRevision: z.number(),
  failureDomains: z.array(z.string()),
});
/** The failure domains that operators have evacuated, at a store revision. */
export type EvacuationState = z.infer<typeof evacuationStateSchema>;

const storeEventSchema = z.object({
  type: z.enum(['put', 'delete']),
  key: z.string(),
  value: compressedTextSchema,
  modRevision: z.number(),
});

const storeKeyValueSchema = z.object({
  key: z.string(),
  value: compressedTextSchema,
  modRevision: z.number(),
  createRevision: z.number(),
});

/**
 * Milliseconds from the arrival of a question to the time up to which whoever answers knows
 * every change; below zero where that is earlier. Absent where nothing is known, and from
 * peers of older versions.
 */
const knownUntilOffsetSchema = z.number().optional();

const viewOffsetsSchema = z.object({
  configuration: knownUntilOffsetSchema,
  upstreams: knownUntilOffsetSchema,
});
/** How current each part of the sender's view is, as offsets to the question's arrival. */
export type ViewOffsets = z.infer<typeof viewOffsetsSchema>;

// A configuration may be large and a link thin, so a copy is sent only on request.
const requestedCopiesSchema = z.object({
  configuration: z.boolean(),
  upstreams: z.boolean(),
  members: z.boolean(),
  /** Whether the asker understands deflated texts. */
  packed: z.boolean().default(false),
});
/** What an asker wants sent along. */
export type RequestedCopies = z.infer<typeof requestedCopiesSchema>;

/**
 * Ids of upstreams that said in an answer that they leave, where the store does not
 * say so yet. Peers of older versions leave it out and pass it over.
 */
const leavingUpstreamsSchema = z.array(z.string()).optional();

/** Requests that crash upstreams. Peers of older versions leave it out and pass it over. */
const suspectsSchema = z.array(suspectReportSchema).optional();

/** Rate limits of upstreams. Peers of older versions neither send nor read them. */
const limitsSchema = z.array(limitReportSchema).optional();

/** What a peer is only told. */
const peerNotificationSchema = z.discriminatedUnion('type', [
  z.object({type: z.literal('stage-end'), requestId: z.string()}),
  z.object({
    type: z.literal('stage-release'),
    results: z.array(stageResultSchema),
  }),
  z.object({
    type: z.literal('assignment-progress'),
    progress: assignmentProgressSchema,
  }),
]);
/** What a peer is only told. */
export type PeerNotification = z.infer<typeof peerNotificationSchema>;

/** What one instance asks another. */
export const peerRequestSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('digest'),
    self: peerRecordSchema,
    revision: z.number(),
    changeId: z.string(),
  }),
  z.object({type: z.literal('snapshot')}),
  z.object({type: z.literal('members')}),
  z.object({
    type: z.literal('demand'),
    instance: z.string(),
    workspace: z.string(),
    requestsPerSecond: z.number(),
    inFlight: z.number(),
  }),
  z.object({
    type: z.literal('outcome'),
    claimKey: z.string(),
    requestId: z.string(),
    /** Milliseconds that the asked instance may wait for the call's end. */
    waitMs: z.number(),
  }),
  z.object({type: z.literal('why'), requestId: z.string()}),
  z.object({type: z.literal('ping')}),
  z.object({type: z.literal('stage-job'), job: stageJobSchema}),
  z.object({
    type: z.literal('stage-admit'),
    request: stageAdmissionRequestSchema,
  }),
  z.object({type: z.literal('stage-cancel'), jobId: z.string()}),
  z.object({type: z.literal('assign'), request: assignmentRequestSchema}),
  z.object({
    type: z.literal('limited-send'),
    ask: grantRequestSchema,
    /** The sender's reports on the limits of these upstreams. */
    limits: z.array(limitReportSchema),
  }),
  z.object({type: z.literal('notes'), notes: z.array(peerNotificationSchema)}),
  z.object({
    type: z.literal('copy'),
    self: peerRecordSchema,
    /** Whether it is in a planned stop. */
    isLeaving: z.boolean(),
    configurationRevision: z.number(),
    storeRevision: z.number(),
    /** Compares the upstreams that both sides know. */
    digest: z.string(),
    /**
     * Whether the sender has just seen the store come back, and still works with
     * upstreams whose registrations may have run out meanwhile.
     */
    isProvisional: z.boolean().default(true),
    /** Small enough to go with every question. */
    evacuations: evacuationStateSchema.optional(),
    leavingUpstreams: leavingUpstreamsSchema,
    suspects: suspectsSchema,
    limits: limitsSchema,
    /** What the answer should carry beside the revisions, where it is newer. */
    wishes: requestedCopiesSchema,
  }),
  z.object({
    type: z.literal('relay-watch'),
    ranges: z.array(
      z.object({
        /** First key of the range, which names it. */
        start: z.string(),
        /** Changes behind this store revision are asked for. */
        sinceRevision: z.number(),
      }),
    ),
    /** Longest milliseconds until an answer without changes. */
    waitMs: z.number().nonnegative(),
    /** Whether the asker understands deflated texts. */
    packed: z.boolean().default(false),
  }),
  z.object({
    type: z.literal('relay-read'),
    /** First keys of the ranges whose content is asked for. */
    starts: z.array(z.string()),
    /** Whether the asker understands deflated texts. */
    packed: z.boolean().default(false),
  }),
]);
/** What one instance asks another. */
export type PeerRequest = z.infer<typeof peerRequestSchema>;

/** What the other answers. */
export const peerReplySchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('digest'),
    revision: z.number(),
    changeId: z.string(),
  }),
  z.object({
    type: z.literal('snapshot'),
    snapshot: configurationSnapshotSchema.optional(),
  }),
  z.object({type: z.literal('members'), members: z.array(peerRecordSchema)}),
  z.object({
    type: z.literal('share'),
    requestsPerSecond: z.number(),
    concurrentRequests: z.number(),
  }),
  z.object({
    type: z.literal('outcome'),
    /** Undefined where the instance knows nothing of the call. */
    outcome: callOutcomeSchema.optional(),
  }),
  z.object({
    type: z.literal('why'),
    found: z
      .object({
        requestId: z.string(),
        workspace: z.string(),
        target: z.string(),
        arrivedAtMs: z.number(),
        decisions: z.array(decisionSchema),
      })
      .optional(),
  }),
  z.object({type: z.literal('done')}),
  z.object({
    type: z.literal('assigned'),
    /** Undefined where no engine can take the request. */
    upstreamId: z.string().optional(),
    failureDomain: z.string().optional(),
  }),
  z.object({
    type: z.literal('limited-send'),
    decision: grantDecisionSchema,
  }),
  z.object({
    type: z.literal('stage-admission'),
    isAdmitted: z.boolean(),
    predictedMs: z.number(),
    firstMs: z.number().optional(),
    retryAfterMs: z.number(),
    reason: z.string().optional(),
  }),
  z.object({type: z.literal('stage-outcome'), outcome: stageOutcomeSchema}),
  z.object({
    type: z.literal('copy'),
    self: peerRecordSchema,
    /** Whether it is in a planned stop. */
    isLeaving: z.boolean(),
    configurationRevision: z.number(),
    storeRevision: z.number(),
    /** Whether both sides know other upstreams. */
    isDigestOther: z.boolean(),
    /** As in the question. */
    isProvisional: z.boolean().default(true),
    evacuations: evacuationStateSchema.optional(),
    leavingUpstreams: leavingUpstreamsSchema,
    suspects: suspectsSchema,
    limits: limitsSchema,
    viewOffsetsMs: viewOffsetsSchema.optional(),
    /** The stored text of a configuration newer than the asker's. */
    configurationText: compressedTextSchema.optional(),
    /** What is known of the upstreams, where it is newer than the asker's. */
    upstreams: storeCopySchema.optional(),
    members: z.array(peerRecordSchema).optional(),
  }),
  z.object({
    type: z.literal('relay-changes'),
    /** Whether the store was away before the sender's watch began. */
    isAfterOutage: z.boolean(),
    ranges: z.array(
      z.object({
        start: z.string(),
        /** Whether changes before those that are sent are no longer known. */
        isGap: z.boolean(),
        events: z.array(storeEventSchema),
        knownUntilOffsetMs: knownUntilOffsetSchema,
      }),
    ),
  }),
  z.object({
    type: z.literal('relay-ranges'),
    ranges: z.array(
      z.object({
        start: z.string(),
        storeId: z.string(),
        storeRevision: z.number(),
        keyValues: z.array(storeKeyValueSchema),
        knownUntilOffsetMs: knownUntilOffsetSchema,
      }),
    ),
  }),
  z.object({
    type: z.literal('relay-unavailable'),
    /** Whether the sender would watch the store, but cannot reach it. */
    isAway: z.boolean(),
  }),
  z.object({type: z.literal('failed'), message: z.string()}),
]);
/** What the other answers. */
export type PeerReply = z.infer<typeof peerReplySchema>;

/** The first frames of a stream, before either side trusts the other. */
export const handshakeSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('hello'),
    keyId: z.string().max(64),
    instance: z.string().max(64),
    nonce: z.string().length(32),
  }),
  z.object({
    type: z.literal('welcome'),
    instance: z.string().max(64),
    nonce: z.string().length(32),
    proof: z.string().length(64),
  }),
  z.object({type: z.literal('proof'), proof: z.string().length(64)}),
]);
/** One frame of the handshake. */
export type Handshake = z.infer<typeof handshakeSchema>;

/** A frame of an open stream. */
export const envelopeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('request'),
    id: z.number(),
    request: peerRequestSchema,
  }),
  z.object({kind: z.literal('reply'), id: z.number(), reply: peerReplySchema}),
]);
/** A frame of an open stream. */
export type Envelope = z.infer<typeof envelopeSchema>;
