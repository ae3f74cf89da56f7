/** Upstreams and entry VMs, as control VMs hear of them and entry VMs poll. */
namespace py wire

struct Endpoint {
  1: string host
  2: i32 port
}

/** One incarnation of an upstream. */
struct UpstreamInfo {
  1: string instance
  2: string service_name
  3: Endpoint address
  4: string failure_domain
  5: i32 slots
  6: bool draining
  /** Milliseconds for which it stays cold, from when this was written. */
  7: i64 cold_ms
  8: i64 sequence
  /** No announcement came for a while. */
  9: bool silent
  /** Milliseconds until it is gone, where that is known. */
  10: optional i64 ends_in_ms
  /** When this start began, by its own clock; absent where it does not tell. */
  11: optional i64 born_ms
}

/** The newest start of an upstream that has ended. */
struct StartEnded {
  1: string instance
  2: optional i64 born_ms
}

/** An entry VM as it describes itself. */
struct EntryInfo {
  1: string name
  2: string session
  3: string region
  4: string failure_domain
  /** Where callers reach it. */
  5: Endpoint http
  /** Where other entry VMs hand requests over. */
  6: Endpoint hop
  /** False while it drains or knows no configuration. */
  7: bool accepting
}

/** Requests of one or more entry VMs at an upstream. */
struct UpstreamLoad {
  /** Name of the incarnation. */
  1: string instance
  2: i32 in_flight
  /** Prompt tokens of requests that have shown no first event. */
  3: i64 pending_tokens
  /** Milliseconds since the oldest of those was sent; absent for none. */
  4: optional i32 waiting_ms
  /** Milliseconds since bytes last came from it; absent for never. */
  5: optional i32 heard_ms
}

/** Shared prompt parts that an upstream has read, and keeps for a while. */
struct PrefixInfo {
  /** Names the parts; the same on all VMs. */
  1: i64 key
  /** Name of the incarnation. */
  2: string instance
  /** Milliseconds since it read them last, from when this was written. */
  3: i64 age_ms
}

/** What an attempt showed of an upstream. */
struct AttemptShown {
  1: string instance
  2: string service_name
  /** A member of `Shown`. */
  3: i32 shown
  /** Milliseconds to the first sign of an answer; absent for none. */
  4: optional double first_ms
  5: double took_ms
  /** What was expected when it was sent. */
  6: double predicted_ms
  7: i32 unread_tokens
  /** True where the engine had other prompts to read, or was cold. */
  8: bool was_held_up
}

/** A place that ended while it had a request. */
struct PlaceLost {
  1: string place
  /** Milliseconds since then, from when this was written. */
  2: i64 age_ms
  /** Milliseconds for which it had the request. */
  3: i64 exposure_ms
}

/** A moment until which nothing is held against a request: it was answered
    whole, or an operator said so. */
struct Clearance {
  /** Names the moment. */
  1: string name
  /** Milliseconds since then, from when this was written. */
  2: i64 age_ms
}

/** A request that was lost to upstreams, named by its content. */
struct SuspectInfo {
  /** 16 bytes. */
  1: binary fingerprint
  /** Whose request it is; empty for nobody's. */
  2: string organisation
  3: i64 body_bytes
  4: list<PlaceLost> losses
  5: list<Clearance> clearances
}

/** What an organisation was admitted by a process since that started. */
struct AdmittedUnits {
  1: string organisation
  2: double units
}

/** An entry VM's own requests; one with a higher number takes its place. */
struct LoadReport {
  /** Rises with each report of the entry VM's process. */
  1: i64 number
  2: list<UpstreamLoad> loads
  /** Drawn at each start of the entry VM's process. */
  7: string session
  /** The control process that gave places, and the last one that the loads
      hold. */
  3: string places_of
  4: i64 places_taken
  /** What attempts have shown since the last report to this control VM. */
  5: list<AttemptShown> shown
  /** What upstreams have read since then. */
  6: list<PrefixInfo> prefixes
  /** What the entry VM has admitted without a picker. */
  8: list<AdmittedUnits> admitted
  /** Requests that were lost to upstreams since the last report. */
  9: list<SuspectInfo> suspects
}

/** A control VM's table, as far as the one that asks holds it. */
struct TableHeld {
  1: string source
  2: i64 version
  /** Version of the list of entry VMs in that table. */
  3: i64 entries_version
}

/** From an entry VM or a control VM to a control VM, a few times a second. */
struct Poll {
  /** Absent where a control VM asks, or an entry VM that is heard by another
      one. */
  1: optional EntryInfo entry
  2: list<TableHeld> held
  /** The entry VM's own requests; absent where it reports to another one. */
  3: optional LoadReport report
  /** What the entry VM's requests have shown since the last poll. */
  4: list<PrefixInfo> prefixes
  /** Version of the held prefixes that it has heard of here; a negative one
      asks for none. */
  5: i64 prefixes_version
  /** True where requests at upstreams are asked for. */
  6: bool wants_loads
  /** A member of `Scope`: whose tables are asked for. */
  7: i32 scope
  /** True where a control VM asks. */
  8: bool from_control
  /** Tables that the entry VM holds as newer ones than the control VM that it
      asks, which has said that it misses some. */
  9: list<TableNews> newer
  /** Requests that the entry VM lost to upstreams since the last poll. */
  10: list<SuspectInfo> suspects
  /** Version of the suspected requests that it has heard of here. */
  11: i64 suspects_version
}

/** News of one control VM's table, from itself or from another one. */
struct TableNews {
  /** Where peers reach the control VM; told with a whole table. */
  1: optional Endpoint control
  /** Drawn at each start of the control VM's process. */
  2: string source
  3: i64 version
  /** True where this is the whole table and not what has changed. */
  4: bool whole
  /** Milliseconds since whoever tells this asked the control VM for it; 0
      where it tells of itself. */
  5: i64 age_ms
  /** Where the control VM stands; told with a whole table. */
  6: optional string region
  7: list<UpstreamInfo> upstreams
  /** Starts that ended: they left or were replaced, and never come back. */
  8: list<StartEnded> gone
  9: list<EntryInfo> entries
  /** Names of entry VMs that are not heard any more. */
  10: list<string> gone_entries
  11: i64 entries_version
  /** Requests of the entry VMs that report to the control VM; absent where
      they are not asked for. */
  12: optional list<UpstreamLoad> loads
  /** What the control VM's picker has admitted; told with the loads. */
  13: list<AdmittedUnits> admitted
}

struct PollReply {
  /** The control VM's process. */
  6: string source
  /** The control VM's own table, and what it knows of the others'. */
  1: list<TableNews> tables
  /** Requests of all other entry VMs; absent where not asked for. */
  2: optional list<UpstreamLoad> loads
  /** Prefixes that were read after the version asked for. */
  3: list<PrefixInfo> prefixes
  4: i64 prefixes_version
  /** True where this control VM gives places to its region's entry VMs. */
  5: bool gives_places
  /** Where this control VM stands. */
  7: string region
  /** True where some table is old here: whoever holds it as newer may tell. */
  8: bool misses_tables
  /** Suspected requests that changed after the version asked for. */
  9: list<SuspectInfo> suspects
  10: i64 suspects_version
}

/** From an entry VM to its region's picker: a place for a request. */
struct PlaceAsked {
  1: string entry_name
  2: LoadReport report
  3: string request_id
  /** Names the route. */
  4: string host
  5: string path_prefix
  6: string service_name
  7: i32 prompt_tokens
  8: i32 shared_tokens
  /** Names the shared parts; absent where there are none. */
  9: optional i64 shared_key
  10: i32 remaining_ms
  /** Incarnations, VMs and regions that failed this request. */
  11: list<string> excluded
  /** True where it was handed over, and must be served in this region. */
  12: bool local
  /** Whose request it is; absent for nobody's. */
  13: optional string organisation
  /** What it counts for in that organisation's limit. */
  14: double cost
}

/** Where a request goes: an upstream, an entry VM, or nowhere. */
struct PlaceGiven {
  /** A member of `GivenKind`. */
  1: i32 kind
  /** The picker's process, and the number of this place. */
  2: string source
  3: i64 number
  4: double predicted_ms
  5: optional UpstreamInfo upstream
  6: bool is_cold
  7: i32 unread_tokens
  8: bool is_kept
  9: i64 waiting_tokens
  10: optional EntryInfo entry
  11: double retry_after_ms
}

/** What a control VM keeps on its disk of upstreams. */
struct KeptUpstreams {
  1: list<UpstreamInfo> upstreams
  2: list<StartEnded> gone
  /** Requests under which upstreams ended. */
  3: list<SuspectInfo> suspects
}
