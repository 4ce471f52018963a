import {
  assignmentProgressSchema,
  assignmentRequestSchema,
  callOutcomeSchema,
  configurationSnapshotSchema,
  decisionSchema,
  grantDecisionSchema,
  grantRequestSchema,
  limitReportSchema,
  observedVersionsSchema,
  partReportSchema,
  stageAdmissionRequestSchema,
  stageJobSchema,
  stageOutcomeSchema,
  stageResultSchema,
  storeCopySchema,
  streamOriginSchema,
  suspectReportSchema,
} from '@hollowstack/types';
import {z} from 'zod';
import {compressedTextSchema} from './compressed-text.ts';

const peerRecordSchema = z.object({
  id: z.string(),
  /** Address of the peer link. */
  address: z.string(),
  failureDomain: z.string(),
  /** CPU capacity in cores of standard speed; larger instances get more work. */
  cores: z.number().positive().optional(),
  /**
   * Start of the process, in Unix milliseconds of its own clock; distinguishes the
   * incarnations of an instance. Older versions leave it out.
   */
  startedAtMs: z.number().optional(),
  /**
   * Types of requests that it answers and instances of some older version do not. Those
   * leave it out, and close the link if they are sent a type that they do not know.
   */
  acceptedRequests: z.array(z.string().max(32)).max(64).optional(),
});
/** One instance as its peers know it. */
export type PeerRecord = z.infer<typeof peerRecordSchema>;
export {peerRecordSchema};

const evacuationStateSchema = z.object({
  /** Store revision up to which the list is complete. */
  storeRevision: z.number(),
  failureDomains: z.array(z.string()),
});
/** The failure domains that operators have evacuated, as of a store revision. */
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
 * Milliseconds from the arrival of a request to the time up to which the replying peer
 * knows every change; negative if that time is earlier. Absent if the peer knows no such
 * time, and from peers of older versions.
 */
const knownUntilOffsetSchema = z.number().optional();

const viewOffsetsSchema = z.object({
  configuration: knownUntilOffsetSchema,
  upstreams: knownUntilOffsetSchema,
});
/** How current each part of the sender's view is, as offsets from the request's arrival. */
export type ViewOffsets = z.infer<typeof viewOffsetsSchema>;

// A configuration may be large and a link slow, so copies are sent only on request.
const requestedCopiesSchema = z.object({
  configuration: z.boolean(),
  upstreams: z.boolean(),
  members: z.boolean(),
  /** Whether the requester accepts compressed texts. */
  packed: z.boolean().default(false),
});
/** The copies that a requester wants included in the reply. */
export type RequestedCopies = z.infer<typeof requestedCopiesSchema>;

/**
 * Ids of upstreams that have reported in an answer that they are leaving, while the store
 * does not show it yet. Peers of older versions neither send nor read them.
 */
const leavingUpstreamsSchema = z.array(z.string()).optional();

/** Requests that crash upstreams. Peers of older versions neither send nor read them. */
const suspectsSchema = z.array(suspectReportSchema).optional();

/** Prompt parts that crash upstreams. Peers of older versions neither send nor read them. */
const suspectPartsSchema = partReportSchema.optional();

/** Rate limits of upstreams. Peers of older versions neither send nor read them. */
const limitsSchema = z.array(limitReportSchema).optional();

/** A message that the peer only acknowledges. */
const peerNotificationSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('stage-end'),
    requestId: z.string(),
    /** Milliseconds from sending the request, after its stages, to its first event, if it came. */
    firstMs: z.number().optional(),
  }),
  z.object({
    type: z.literal('stage-release'),
    results: z.array(stageResultSchema),
  }),
  z.object({
    type: z.literal('assignment-progress'),
    progress: assignmentProgressSchema,
  }),
]);
/** A message that the peer only acknowledges. */
export type PeerNotification = z.infer<typeof peerNotificationSchema>;

/** A request from one instance to another. */
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
    /** Milliseconds that the peer may wait for the call to end. */
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
  z.object({
    type: z.literal('open-tunnel'),
    /** Address of the upstream. */
    address: z.string(),
    /** Milliseconds within which the upstream must accept the connection. */
    timeoutMs: z.number().positive(),
  }),
  z.object({type: z.literal('stream-began'), origin: streamOriginSchema}),
  z.object({
    type: z.literal('stream-origin'),
    key: z.string().max(64),
    service: z.string(),
  }),
  z.object({
    type: z.literal('part-trial'),
    /** Key of the verdict whose parts a request holds in part. */
    key: z.string().max(64),
  }),
  z.object({type: z.literal('notes'), notes: z.array(peerNotificationSchema)}),
  z.object({
    type: z.literal('copy'),
    self: peerRecordSchema,
    /** Whether the sender is in a planned shutdown. */
    isLeaving: z.boolean(),
    configurationRevision: z.number(),
    storeRevision: z.number(),
    /** Digest of the upstreams that the sender knows. */
    digest: z.string(),
    /**
     * Whether the sender has just reconnected to the store and still uses upstreams whose
     * registrations may have expired in the meantime.
     */
    isProvisional: z.boolean().default(true),
    /** Small enough to be sent with every request. */
    evacuations: evacuationStateSchema.optional(),
    leavingUpstreams: leavingUpstreamsSchema,
    suspects: suspectsSchema,
    suspectParts: suspectPartsSchema,
    limits: limitsSchema,
    /** The copies that the reply should include if they are newer than the sender's. */
    wishes: requestedCopiesSchema,
  }),
  z.object({
    type: z.literal('relay-watch'),
    ranges: z.array(
      z.object({
        /** First key of the range, which identifies it. */
        start: z.string(),
        /** Store revision after which changes are requested. */
        sinceRevision: z.number(),
      }),
    ),
    /** Maximum milliseconds until a reply without changes. */
    waitMs: z.number().nonnegative(),
    /** Whether the requester accepts compressed texts. */
    packed: z.boolean().default(false),
  }),
  z.object({
    type: z.literal('relay-read'),
    /** First keys of the ranges to read. */
    starts: z.array(z.string()),
    /** Whether the requester accepts compressed texts. */
    packed: z.boolean().default(false),
  }),
]);
/** A request from one instance to another. */
export type PeerRequest = z.infer<typeof peerRequestSchema>;

/** A reply to a peer's request. */
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
    /** Undefined if the instance does not know the call. */
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
    /** Undefined if no engine can accept the request. */
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
    /** Whether the sender is in a planned shutdown. */
    isLeaving: z.boolean(),
    configurationRevision: z.number(),
    storeRevision: z.number(),
    /** Whether the two sides know different upstreams. */
    isDigestOther: z.boolean(),
    /** As in the request. */
    isProvisional: z.boolean().default(true),
    evacuations: evacuationStateSchema.optional(),
    leavingUpstreams: leavingUpstreamsSchema,
    suspects: suspectsSchema,
    suspectParts: suspectPartsSchema,
    limits: limitsSchema,
    viewOffsetsMs: viewOffsetsSchema.optional(),
    /** The stored text of a configuration newer than the requester's. */
    configurationText: compressedTextSchema.optional(),
    /** The known state of the upstreams, if newer than the requester's. */
    upstreams: storeCopySchema.optional(),
    members: z.array(peerRecordSchema).optional(),
  }),
  z.object({
    type: z.literal('relay-changes'),
    /** Whether the store was unreachable before the sender's watch began. */
    isAfterOutage: z.boolean(),
    ranges: z.array(
      z.object({
        start: z.string(),
        /** Whether the sender no longer has all requested changes. */
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
    /** Whether the sender is meant to watch the store but cannot reach it. */
    isAway: z.boolean(),
  }),
  z.object({
    type: z.literal('stream-origin'),
    /** Undefined if the instance does not know the stream. */
    origin: streamOriginSchema.optional(),
    observed: observedVersionsSchema,
  }),
  z.object({type: z.literal('part-trial'), isGranted: z.boolean()}),
  z.object({
    type: z.literal('tunnel'),
    /** Address at which the tunnel is claimed with the token. */
    address: z.string(),
    token: z.string(),
  }),
  z.object({
    type: z.literal('tunnel-failed'),
    /**
     * `refused` and `unanswered`: the upstream did not accept the connection, though others
     * did. `no-path`: the sender reaches no upstream. `not-accepting`: the sender knows no
     * upstream at the address that accepts work.
     */
    reason: z.enum([
      'refused',
      'unanswered',
      'no-path',
      'busy',
      'not-accepting',
    ]),
  }),
  z.object({type: z.literal('failed'), message: z.string()}),
]);
/** A reply to a peer's request. */
export type PeerReply = z.infer<typeof peerReplySchema>;

/** The first frames of a stream, before the sides have authenticated each other. */
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

/** A frame of an authenticated stream. */
export const envelopeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('request'),
    id: z.number(),
    request: peerRequestSchema,
  }),
  z.object({kind: z.literal('reply'), id: z.number(), reply: peerReplySchema}),
]);
/** A frame of an authenticated stream. */
export type Envelope = z.infer<typeof envelopeSchema>;
