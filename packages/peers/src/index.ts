/** The authenticated link between instances, their membership and what they exchange. */
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
  type CopyWishes,
  type ViewOffsets,
  type EvacuationState,
  type PeerNote,
  type PeerRecord,
  type PeerReply,
  type PeerRequest,
} from './messages.ts';
export {chooseCoordinator, listUnconfirmedRivals} from './coordinator.ts';
export {Membership, PEER_PREFIX, type MembershipParts} from './membership.ts';
export {
  RevisionExchange,
  type RevisionExchangeParts,
} from './revision-exchange.ts';
export {ShareKeeper} from './share-keeper.ts';
export {
  ShareClient,
  type ShareClientParts,
  type WorkspaceShare,
} from './share-client.ts';
export {TextPacker, decodeText, type PackedText} from './packed-text.ts';
export {NoteQueue, type NoteQueueParts} from './note-queue.ts';
