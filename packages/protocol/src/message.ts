/** The list of all exchanges between nodes. Each is one call and one reply. */

import type { LimitCall, LimitReply } from './limitmessage.js';
import type { AnnounceCall, AnnounceReply } from './announcemessage.js';
import type { DrainCall, DrainReply } from './drainmessage.js';
import type { FollowCall, FollowReply, ProgressCall, ProgressReply } from './followmessage.js';
import type { ClearCall, ClearReply, SettleCall, SettleReply } from './gatemessage.js';
import type {
  PreemptCall,
  PreemptReply,
  AcquireCall,
  AcquireReply,
  AuditCall,
  AuditReply,
  ReleaseCall,
  ReleaseReply,
} from './grantmessage.js';
import type { HandoverCall, HandoverReply } from './ownermessage.js';
import type {
  AppendCall,
  AppendReply,
  InspectCall,
  InspectReply,
  ProposeCall,
  ProposeReply,
  SnapshotCall,
  SnapshotReply,
  TransferCall,
  TransferReply,
  VoteCall,
  VoteReply,
  VotersCall,
  VotersReply,
} from './logmessage.js';
import type {
  AdoptionCall,
  AdoptionReply,
  BeatCall,
  BeatReply,
  CrashCall,
  CrashReply,
  HeartbeatsCall,
  HeartbeatsReply,
  JoinCall,
  JoinReply,
  ReadCall,
  ReadReply,
  SubmitCall,
  SubmitReply,
  WatchCall,
  WatchReply,
} from './fleetmessage.js';
import type { LimitNotice, PermitCall, PermitReply } from './permitmessage.js';
import type { WorkCall, WorkReply } from './workmessage.js';

/** The types of the call and the reply, by kind of exchange. */
export interface Exchanges {
  vote: { call: VoteCall; reply: VoteReply };
  append: { call: AppendCall; reply: AppendReply };
  snapshot: { call: SnapshotCall; reply: SnapshotReply };
  transfer: { call: TransferCall; reply: TransferReply };
  inspect: { call: InspectCall; reply: InspectReply };
  voters: { call: VotersCall; reply: VotersReply };
  propose: { call: ProposeCall; reply: ProposeReply };
  follow: { call: FollowCall; reply: FollowReply };
  progress: { call: ProgressCall; reply: ProgressReply };
  acquire: { call: AcquireCall; reply: AcquireReply };
  release: { call: ReleaseCall; reply: ReleaseReply };
  audit: { call: AuditCall; reply: AuditReply };
  preempt: { call: PreemptCall; reply: PreemptReply };
  clear: { call: ClearCall; reply: ClearReply };
  settle: { call: SettleCall; reply: SettleReply };
  limit: { call: LimitCall; reply: LimitReply };
  handover: { call: HandoverCall; reply: HandoverReply };
  drain: { call: DrainCall; reply: DrainReply };
  work: { call: WorkCall; reply: WorkReply };
  watch: { call: WatchCall; reply: WatchReply };
  beat: { call: BeatCall; reply: BeatReply };
  heartbeats: { call: HeartbeatsCall; reply: HeartbeatsReply };
  submit: { call: SubmitCall; reply: SubmitReply };
  adoption: { call: AdoptionCall; reply: AdoptionReply };
  read: { call: ReadCall; reply: ReadReply };
  join: { call: JoinCall; reply: JoinReply };
  parts: { call: CrashCall; reply: CrashReply };
  permit: { call: PermitCall; reply: PermitReply };
  notice: { call: LimitNotice; reply: LimitNotice };
  announce: { call: AnnounceCall; reply: AnnounceReply };
}

/** The kind of an exchange, as it is sent. */
export type ExchangeKind = keyof Exchanges;
export type CallOf<K extends ExchangeKind> = Exchanges[K]['call'];
export type ReplyOf<K extends ExchangeKind> = Exchanges[K]['reply'];
