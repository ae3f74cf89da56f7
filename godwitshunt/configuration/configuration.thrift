/** Configuration: commands of the replicated log and distribution messages. */
namespace py wire

struct Endpoint {
  1: string host
  2: i32 port
}

/** Record that a VM sends of itself. */
struct VmInfo {
  1: string name
  2: string region
  3: string failure_domain
  4: string role
  5: Endpoint http
  6: Endpoint peer
  /** Random, new at each start of the VM's process. */
  7: string session
}

/** Accept a manifest, as a delta over the one before it or in full. */
struct AcceptManifest {
  1: i64 number
  /** SHA-256 of the manifest's canonical form, in hexadecimal. */
  2: string digest
  /** Digest of the manifest that the delta builds on; empty for a full one. */
  3: string base_digest
  /** Compressed JSON. */
  4: binary body
}

/** Every awaited VM has applied the manifest or has stopped. */
struct ConfirmManifest {
  1: i64 number
}

struct ChangeVms {
  1: list<VmInfo> admitted
  /** Reported as stopped by an operator. */
  2: list<string> removed
  /** Without a heartbeat for a long time, perhaps only partitioned. */
  3: list<string> absent
}

/** Set the claim holders of a region. */
struct ChangeHolders {
  1: string region
  2: list<string> names
}

/** Stop or resume sending to the upstreams of a failure domain. */
struct ChangeEvacuation {
  1: string failure_domain
  2: bool evacuated
  /** Applied only if the domain has not changed since this revision. */
  3: optional i64 based_on
}

/** An order to an upstream; committed before it is sent. */
struct IssueOrder {
  /** Chosen by the requester; an order is issued once per name. */
  1: string order
  2: string upstream
  3: string action
  4: string subject
  /** Units that the order takes from the weight store's token bucket. */
  5: i32 weight_units
}

/** Outcome of an order that was sent. */
struct FinishOrder {
  1: string order
  2: string ending
}

/** One entry of the replicated log; exactly one command is set. */
struct Command {
  /** Random identifier; matches the entry to the call that awaits its outcome. */
  1: string proposal
  2: optional AcceptManifest accept_manifest
  3: optional ConfirmManifest confirm_manifest
  4: optional ChangeVms change_vms
  5: optional ChangeHolders change_holders
  6: optional IssueOrder issue_order
  7: optional FinishOrder finish_order
  8: optional ChangeEvacuation change_evacuation
}

/** Sent by a VM to a control replica or a peer of its region, each second. */
struct VmHeartbeat {
  1: string name
  2: string session
  /** Latest revision of the VM; 0 for none, or to request the full document. */
  3: i64 revision
  /** Set until the receiver knows it. */
  4: optional VmInfo vm
}

/** Update to the newest revision: empty, a delta, or the full document. */
struct ConfigurationNews {
  1: i64 revision
  /** SHA-256 of the full document; empty if nothing is newer. */
  2: string digest
  /** Digest of the document that a delta builds on; empty for a full one. */
  3: string base_digest
  /** Compressed JSON; empty if the receiver has this revision. */
  4: binary body
  /** Seconds since the last proof of a live quorum; negative for none. */
  5: double quorum_age_s
  /** True if the receiver of the heartbeat does not know the VM's session. */
  6: bool introduce
}

/** Last heartbeat of a VM, as one control replica received it. */
struct VmReport {
  1: string name
  2: i64 revision
  3: double age_s
  /** Only set if it differs from the committed record. */
  4: optional VmInfo vm
}

/** Sent by a control replica to the others, each second. */
struct VmReports {
  1: list<VmReport> reports
}

/** An operator's call that a follower forwards to the leader. */
struct OperatorCall {
  1: string method
  2: string path
  3: binary body
  /** Revision that the forwarding replica had when the caller still waited. */
  4: optional i64 based_on
}

struct OperatorReply {
  1: i16 status
  2: binary body
}
