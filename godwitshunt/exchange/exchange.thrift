/** What travels with a request that is forwarded to another entry VM. */
namespace py wire

struct ForwardNote {
  /** Names of the VMs that had the request, in order. */
  1: list<string> path
  /** Regions of those VMs; the first is where the request arrived. */
  2: list<string> regions
  /** The VM that the request is sent to; it accepts no other's note. */
  3: string receiver
  4: string caller
  5: string request_class
  6: i64 remaining_ms
  /** The revision under which the sender decided. */
  7: i64 revision
  /** SHA-256 of method, target and body: a note fits one request only. */
  8: binary request_digest
  /** True where the sender holds a claim for the call. */
  9: bool claimed
  /** Whole events of a stream that the caller already has. */
  10: i64 resume_offset
  /** For a request of a route: what the receiver is asked to serve it with. */
  11: optional string service_name
  12: optional string request_id
  /** True where an upstream has had the request before. */
  13: optional bool repeat
  /** Id of the last event of a stream that the caller has. */
  14: optional i64 resume_after
  /** The route's place, under which the receiver finds its rules. */
  15: optional string host
  16: optional string path_prefix
  /** Whose request it is, once its key was looked up; absent for nobody's. */
  17: optional string organisation
  /** The granting picker's process, the grant's number and the index of its
      slot; absent for a hand-over without a grant. */
  18: optional string grant_source
  19: optional i64 grant_number
  20: optional i32 grant_slot
  /** Units of the organisation's limit that the sender has not charged. */
  21: optional double due_cost
}
