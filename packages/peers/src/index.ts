/** Authenticated links between instances, their membership and the messages they exchange. */
export {
  MAX_FRAME_BYTES,
  FrameDecoder,
  FrameError,
  encodeFrame,
} from './frames.ts';
export {PeerNetwork, type PeerSocket} from './peer-network.ts';
export {TcpPeerNetwork} from './tcp-peer-network.ts';
export type {PeerIdentity} from './peer-identity.ts';
export {PeerLink, type PeerLinkParts} from './peer-link.ts';
export {KeyRing, type PeerKey} from './key-ring.ts';
export {
  peerRequestSchema,
  peerReplySchema,
  type RequestedCopies,
  type ViewOffsets,
  type EvacuationState,
  type PeerNotification,
  type PeerRecord,
  type PeerReply,
  type PeerRequest,
} from './messages.ts';
export {
  SHARED_PLANNING,
  chooseCoordinator,
  listPlanners,
  listUnconfirmedCandidates,
} from './coordinator.ts';
export {Membership, PEER_PREFIX, type MembershipParts} from './membership.ts';
export {RevisionGossip, type RevisionGossipParts} from './revision-gossip.ts';
export {ShareAllocator} from './share-allocator.ts';
export {
  ShareClient,
  type ShareClientParts,
  type WorkspaceShare,
} from './share-client.ts';
export {
  TextCompressor,
  decodeText,
  type CompressedText,
} from './compressed-text.ts';
export {
  NotificationQueue,
  type NotificationQueueParts,
} from './notification-queue.ts';
