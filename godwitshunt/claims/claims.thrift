/** Claims on idempotency keys, between the claimants and holders of a region. */
namespace py wire

/** A holder's status: its incarnation, its epoch, and what it knows of peers. */
struct Standing {
  /** The holder's incarnation in this generation. */
  1: i64 incarnation
  /** The highest known incarnation of each peer, by holder name. */
  2: map<string, i64> known
  3: i64 epoch
}

struct Answer {
  1: i32 status
  2: list<Header> headers
  3: binary body
}

struct Header {
  1: binary name
  2: binary text
}

/** A claim, query, release or finish; the message kind says which. */
struct ClaimCall {
  1: string key
  2: binary request_digest
  3: string vm
  4: i64 attempt
  /** The highest epoch that holders reported to the sender. */
  5: i64 epoch
  /** On finish: the answer, or else in `unknown` why none is stored. */
  6: optional Answer answer
  7: optional string unknown
}

struct ClaimReply {
  /** The number of a verdict; see godwitshunt.claims.verdicts. */
  1: i32 verdict
  2: optional Standing standing
  3: optional string vm
  4: optional i64 attempt
  5: optional Answer answer
  6: optional string reason
}

/** Asks the VM of an attempt whether it is running a key's call. */
struct RunningCall {
  1: string key
}

struct RunningReply {
  1: bool running
}

/** Between holders: epoch exchange, and recovery of one that lost votes. */
struct HolderCall {
  1: string region
  2: i64 generation
  3: i64 epoch
  /** On recovery: the incarnation that the sender adopts; 0 only queries. */
  4: optional i64 incarnation
}

struct HolderReply {
  1: Standing standing
}

/** One record of the claim journal. */
struct JournalRecord {
  1: string region
  2: i64 generation
  /** Present if the holder's status changed. */
  3: optional Standing standing
  4: optional i64 floor
  /** Present if a claim changed. */
  5: optional string key
  6: optional binary request_digest
  7: optional string vm
  8: optional i64 attempt
  9: optional Answer answer
  10: optional string unknown
  11: optional list<i64> withdrawn
}
