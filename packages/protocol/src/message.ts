/** Every exchange between the nodes: one call and one reply. */

import type { AnnounceCall, AnnounceReply } from './announcemessage.js';
import type { DrainCall, DrainReply } from './drainmessage.js';
import type { FollowCall, FollowReply, ProgressCall, ProgressReply } from './followmessage.js';
import type {
  PreemptCall,
  PreemptReply,
  AcquireCall,
  AcquireReply,
  ReleaseCall,
  ReleaseReply,
} from './grantmessage.js';
import type {
  AppendCall,
  AppendReply,
  ProposeCall,
  ProposeReply,
  SnapshotCall,
  SnapshotReply,
  TransferCall,
  TransferReply,
  VoteCall,
  VoteReply,
} from './logmessage.js';

/** Every kind of exchange with its call and its reply. */
export interface Exchanges {
  vote: { call: VoteCall; reply: VoteReply };
  append: { call: AppendCall; reply: AppendReply };
  snapshot: { call: SnapshotCall; reply: SnapshotReply };
  transfer: { call: TransferCall; reply: TransferReply };
  propose: { call: ProposeCall; reply: ProposeReply };
  follow: { call: FollowCall; reply: FollowReply };
  progress: { call: ProgressCall; reply: ProgressReply };
  acquire: { call: AcquireCall; reply: AcquireReply };
  release: { call: ReleaseCall; reply: ReleaseReply };
  preempt: { call: PreemptCall; reply: PreemptReply };
  drain: { call: DrainCall; reply: DrainReply };
  announce: { call: AnnounceCall; reply: AnnounceReply };
}

/** The name of an exchange. */
export type ExchangeKind = keyof Exchanges;
export type CallOf<K extends ExchangeKind> = Exchanges[K]['call'];
export type ReplyOf<K extends ExchangeKind> = Exchanges[K]['reply'];
