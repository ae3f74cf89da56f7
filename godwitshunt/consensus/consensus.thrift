/** Messages between replicas of the log, and the voter set as stored in it. */
namespace py wire

/** A replica: a name that lasts, and the incarnation of its data folder. */
struct ReplicaName {
  1: string name
  2: string incarnation
}

struct MemberRecord {
  1: ReplicaName replica
  2: string host
  3: i32 port
  4: bool voter
}

struct MembershipRecord {
  1: list<MemberRecord> members
}

struct LogEntry {
  1: i64 index
  2: i64 term
  3: i8 kind
  4: binary payload
}

/** A replica that hears no leader asks a control VM to be let in. */
struct JoinRequest {
  1: ReplicaName replica
  2: string host
  3: i32 port
}

/** Where a control VM is reached by its peers. */
struct PeerAddress {
  1: string host
  2: i32 port
}

struct JoinReply {
  /** True where the VM that answers leads. */
  1: bool leads
  /** The leader's address, as far as the VM that answers knows it. */
  2: optional string host
  3: optional i32 port
  /** Members, and other control VMs that this one has heard from. */
  4: optional list<PeerAddress> contacts
}

struct VoteRequestBody {
  1: i64 last_index
  2: i64 last_term
  3: bool pre_vote
}

struct VoteReplyBody {
  1: bool granted
  2: bool pre_vote
}

struct AppendRequestBody {
  1: i64 prev_index
  2: i64 prev_term
  3: list<LogEntry> entries
  4: i64 commit_index
  /** Seconds on the leader's own clock; the reply brings it back. */
  5: double sent_s
  /** The newest sent_s that this follower has brought back. */
  6: double acknowledged_s
  /** Age in seconds of the leader's last proof of a quorum. */
  7: double quorum_age_s
}

struct AppendReplyBody {
  1: bool success
  /** Last matching index, or where the leader should look next. */
  2: i64 index
  3: double sent_s
}

struct SnapshotChunkBody {
  1: i64 index
  2: i64 index_term
  3: MembershipRecord membership
  4: i64 offset
  5: i64 total
  6: binary chunk
  7: double sent_s
}

struct SnapshotReplyBody {
  1: i64 index
  2: i64 offset
  3: double sent_s
}

/** One message; exactly one body is set. */
struct ReplicaMessage {
  1: i64 term
  2: ReplicaName sender
  3: ReplicaName receiver
  4: optional VoteRequestBody vote_request
  5: optional VoteReplyBody vote_reply
  6: optional AppendRequestBody append_request
  7: optional AppendReplyBody append_reply
  8: optional SnapshotChunkBody snapshot_chunk
  9: optional SnapshotReplyBody snapshot_reply
  10: optional bool identify
  /** Where to answer, for a receiver that does not know the members yet. */
  11: optional string reply_host
  12: optional i32 reply_port
}

/** Reply to `identify`: who is here, and whether its folder is unused. */
struct Identity {
  1: ReplicaName replica
  2: bool unused
}

/** First record of the file `log`: whose it is, and what comes before it. */
struct LogHeader {
  1: ReplicaName replica
  2: i64 base_index
  3: i64 base_term
}

struct VoteRecord {
  1: i64 term
  2: optional ReplicaName voted_for
}

/** One record of the file `log`; exactly one field is set. */
struct LogRecord {
  1: optional LogHeader header
  2: optional VoteRecord vote
  3: optional LogEntry entry
}

/** First record of the file `snapshot`; the second one is the state. */
struct SnapshotHeader {
  1: ReplicaName replica
  2: i64 index
  3: i64 term
  4: MembershipRecord membership
}
