/** Configuration: the commands in the replicated log, and its distribution. */
namespace py wire

struct Endpoint {
  1: string host
  2: i32 port
}

/** A VM as it describes itself. */
struct VmInfo {
  1: string name
  2: string region
  3: string failure_domain
  4: string role
  5: Endpoint http
  6: Endpoint peer
  /** Drawn at each start of the VM's process. */
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
  /** Known to have stopped. */
  2: list<string> removed
  /** Not heard for long, perhaps only cut off. */
  3: list<string> absent
}

/** The claim holders of a region from now on. */
struct ChangeHolders {
  1: string region
  2: list<string> names
}

/** Nothing more goes to the upstreams of a failure domain, or again. */
struct ChangeEvacuation {
  1: string failure_domain
  2: bool evacuated
}

/** An order to an upstream; committed before it is sent. */
struct IssueOrder {
  /** Chosen by whoever asks; the same one is never issued twice. */
  1: string order
  2: string upstream
  3: string action
  4: string subject
  /** Units that the order takes from the weight store's bucket. */
  5: i32 weight_units
}

/** What became of an order that was sent. */
struct FinishOrder {
  1: string order
  2: string ending
}

/** One entry of the replicated log; exactly one command is set. */
struct Command {
  /** Random; pairs the entry with the call that waits for its outcome. */
  1: string proposal
  2: optional AcceptManifest accept_manifest
  3: optional ConfirmManifest confirm_manifest
  4: optional ChangeVms change_vms
  5: optional ChangeHolders change_holders
  6: optional IssueOrder issue_order
  7: optional FinishOrder finish_order
  8: optional ChangeEvacuation change_evacuation
}

/** From a VM to a control replica or a peer of its region, each second. */
struct VmHeartbeat {
  1: string name
  2: string session
  /** The revision in force there; 0 for none, or to ask for the whole. */
  3: i64 revision
  /** Until the receiver knows it. */
  4: optional VmInfo vm
}

/** The newest revision: nothing, a delta, or the whole document. */
struct ConfigurationNews {
  1: i64 revision
  /** SHA-256 of the whole document; empty where nothing is newer. */
  2: string digest
  /** Digest of the document that a delta builds on; empty for a whole one. */
  3: string base_digest
  /** Compressed JSON; empty where the receiver has this revision. */
  4: binary body
  /** Seconds since the last proof of a live quorum; negative for none. */
  5: double quorum_age_s
  /** The receiver of the heartbeat does not know the VM in this session. */
  6: bool introduce
}

/** What one control replica heard from a VM. */
struct VmReport {
  1: string name
  2: i64 revision
  3: double age_s
  /** Only where it differs from what is committed. */
  4: optional VmInfo vm
}

/** From a control replica to the others, each second. */
struct VmReports {
  1: list<VmReport> reports
}

/** An operator's call that a follower passes to the leader. */
struct OperatorCall {
  1: string method
  2: string path
  3: binary body
}

struct OperatorReply {
  1: i16 status
  2: binary body
}
