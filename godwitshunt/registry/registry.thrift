/** Messages of the registry of upstreams and entry VMs. */
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
  /** Remaining milliseconds of its cold start when this was sent. */
  7: i64 cold_ms
  8: i64 sequence
  /** True if no announcement was received recently. */
  9: bool silent
  /** Milliseconds until it terminates; absent if unknown. */
  10: optional i64 ends_in_ms
  /** Start time of the incarnation by its own clock, in Unix milliseconds;
      absent if it does not send one. */
  11: optional i64 born_ms
}

/** The newest incarnation of an upstream that has ended. */
struct StartEnded {
  1: string instance
  2: optional i64 born_ms
  /** True if it has announced itself no more to this control VM, and possibly
      to another one. */
  3: optional bool expired
}

/** An entry VM as it describes itself. */
struct EntryInfo {
  1: string name
  2: string session
  3: string region
  4: string failure_domain
  /** Where callers reach it. */
  5: Endpoint http
  /** Where other entry VMs forward requests to it. */
  6: Endpoint hop
  /** False while it drains or has no configuration. */
  7: bool accepting
  /** True while it reaches no upstream of its region. */
  8: optional bool without_paths
}

/** A shared prompt prefix that requests use at an upstream. */
struct SharedPrefix {
  /** Identifies the prefix; the same on all VMs. */
  1: i64 key
  2: i64 tokens
}

/** Load of an upstream by one or more entry VMs. */
struct UpstreamLoad {
  /** Name of the incarnation. */
  1: string instance
  2: i32 in_flight
  /** Prompt tokens of requests that have not returned a first event. */
  3: i64 pending_tokens
  /** Milliseconds since the oldest such request was sent; absent for none. */
  4: optional i32 waiting_ms
  /** Milliseconds since bytes last arrived from it; absent for never. */
  5: optional i32 heard_ms
  /** Tokens of the upstream's memory that the requests need until they end,
      without the prefixes in `shared`. */
  6: optional i64 reserved_tokens
  /** Shared prefixes that an entry VM's requests use, each of them once; only
      in that VM's own reports. */
  7: optional list<SharedPrefix> shared
}

/** Shared prompt parts that an upstream has processed and keeps cached. */
struct PrefixInfo {
  /** Identifies the parts; the same on all VMs. */
  1: i64 key
  /** Name of the incarnation. */
  2: string instance
  /** Milliseconds since it last processed them when this was sent. */
  3: i64 age_ms
}

/** The observed outcome of an attempt at an upstream. */
struct AttemptShown {
  1: string instance
  2: string service_name
  /** A member of `AttemptResult`. */
  3: i32 shown
  /** Milliseconds to the first byte of an answer; absent for none. */
  4: optional double first_ms
  5: double took_ms
  /** Latency predicted when it was sent. */
  6: double predicted_ms
  7: i32 unread_tokens
  /** True if the engine had other prompts to process, or was cold. */
  8: bool was_held_up
  /** The route, and the length of the whole answer in tokens; absent if it is
      not known. */
  9: optional string route
  10: optional i32 answer_tokens
}

/** An upstream that terminated while it had a request. */
struct PlaceLost {
  1: string place
  /** Milliseconds since then when this was sent. */
  2: i64 age_ms
  /** Milliseconds for which it had the request. */
  3: i64 exposure_ms
  /** Number of messages that the report passed before this one. */
  4: i32 relays
  /** The entry VM that observed the loss. */
  5: optional string observer
}

/** A time up to which the losses of a request are disregarded: it was answered
    completely, or an operator released it. */
struct Clearance {
  /** Identifies the clearance. */
  1: string name
  /** Milliseconds since then when this was sent. */
  2: i64 age_ms
}

/** A request that was lost to upstreams, identified by its content, or a part
    of the prompts of such requests. */
struct SuspectInfo {
  /** 16 bytes. */
  1: binary fingerprint
  /** Organisation that sent it; empty for none. */
  2: string organisation
  3: i64 body_bytes
  4: list<PlaceLost> losses
  5: list<Clearance> clearances
  /** Name of a part of prompts; absent for the content of a request. */
  6: optional string part
  /** Position of the part in its prompts; 0 is the first. */
  7: optional i32 position
}

/** From a control VM to the entry VMs that poll it, when the quarantine status
    of a request or a part changes. */
struct SuspectNews {
  1: list<SuspectInfo> suspects
}

/** Units that a process has admitted for an organisation since it started. */
struct AdmittedUnits {
  1: string organisation
  2: double units
}

/** A rate limit that an upstream has stated in an answer. */
struct RateLimitInfo {
  1: string instance
  /** Requests per second from all VMs together; absent if the limit has ended. */
  2: optional double per_s
  /** Milliseconds since the answer was received when this was sent. */
  3: i64 age_ms
}

/** Rejections per second that each upstream of a service bears. */
struct BrittleInfo {
  1: string service_name
  /** Absent once its upstreams state no bound any more. */
  2: optional double rejections_per_s
  /** Milliseconds since the answer that stated it, when this was sent. */
  3: i32 age_ms
}

/** What upstreams have stated in answers to any entry VM. */
struct UpstreamNotices {
  /** Incarnations that are leaving. */
  1: list<string> leaving
  2: list<RateLimitInfo> rate_limits
  3: optional list<BrittleInfo> brittle
}

/** All requests of an entry VM; a report with a higher number replaces it. */
struct LoadReport {
  /** Rises with each report of the entry VM's process. */
  1: i64 number
  2: list<UpstreamLoad> loads
  /** Random identifier, new at each start of the entry VM's process. */
  7: string session
  /** The control process that assigned destinations, and the number of its
      last reservation that the loads include. */
  3: string places_of
  4: i64 places_taken
  /** Outcomes of attempts since the last report to this control VM. */
  5: list<AttemptShown> shown
  /** Cached prefixes since then. */
  6: list<PrefixInfo> prefixes
  /** Units that the entry VM has admitted without a picker. */
  8: list<AdmittedUnits> admitted
  /** Requests that were lost to upstreams since the last report. */
  9: list<SuspectInfo> suspects
  /** All rate limits of upstreams that are in force at the entry VM. */
  10: list<RateLimitInfo> rate_limits
  /** Incarnations that have stated in an answer that they are leaving. */
  11: list<string> leaving
  /** All services whose upstreams have told the entry VM that they are
      brittle. */
  12: optional list<BrittleInfo> brittle
}

/** Versions of a control VM's table that the sender holds. */
struct TableHeld {
  1: string source
  2: i64 version
  /** Version of the list of entry VMs in that table. */
  3: i64 entries_version
}

/** From an entry VM or a control VM to a control VM, a few times a second. */
struct Poll {
  /** Absent if a control VM polls, or an entry VM that reports to another
      one. */
  1: optional EntryInfo entry
  2: list<TableHeld> held
  /** The entry VM's requests; absent if it reports to another control VM. */
  3: optional LoadReport report
  /** Cached prefixes that its requests have shown since the last poll. */
  4: list<PrefixInfo> prefixes
  /** Version of the receiver's cached prefixes that the sender holds; a
      negative one requests none. */
  5: i64 prefixes_version
  /** True to request the loads of upstreams. */
  6: bool wants_loads
  /** A member of `Scope`: the tables that are requested. */
  7: i32 scope
  /** True if a control VM polls. */
  8: bool from_control
  /** Tables that are newer at the entry VM than at the receiver, which has
      reported stale ones. */
  9: list<TableNews> newer
  /** Requests of the entry VM lost to upstreams since the last poll. */
  10: list<SuspectInfo> suspects
  /** Version of the receiver's suspected requests that the sender holds. */
  11: i64 suspects_version
}

/** Capacity that a picker grants to another region. */
struct GrantInfo {
  1: i64 number
  /** The region that receives it. */
  2: string region
  3: string service_name
  4: i32 slots
  /** Tokens of engine memory; absent for no limit. */
  5: optional i64 tokens
  /** Milliseconds until it ends when this was sent. */
  6: i32 remaining_ms
}

/** Demand that a picker cannot serve in its region. */
struct DemandInfo {
  1: string service_name
  2: i32 slots
  3: optional i64 tokens
}

/** Round trip that a control VM measures to another region. */
struct RoundTripInfo {
  1: string region
  2: double round_trip_ms
}

/** Grants and demand of a control VM's picker. */
struct GrantsInfo {
  /** All unexpired grants of the picker. */
  1: list<GrantInfo> grants
  2: list<DemandInfo> demands
  /** Entry VMs that query the picker. */
  3: i32 reporters
  4: list<RoundTripInfo> round_trips
}

/** Use of one slot of a grant by a request that is handed over. */
struct GrantUseInfo {
  /** The granting picker's process. */
  1: string source
  2: i64 number
  /** Index of the slot within the grant. */
  3: i32 slot
}

/** An update of one control VM's table, from itself or relayed. */
struct TableNews {
  /** Peer address of the control VM; present with a whole table. */
  1: optional Endpoint control
  /** Random identifier, new at each start of the control VM's process. */
  2: string source
  3: i64 version
  /** True if this is the whole table, not only its changes. */
  4: bool whole
  /** Milliseconds since the sender polled the control VM for it; 0 in the
      control VM's own update. */
  5: i64 age_ms
  /** Region of the control VM; present with a whole table. */
  6: optional string region
  7: list<UpstreamInfo> upstreams
  /** Incarnations that ended: they left or were replaced for good. */
  8: list<StartEnded> gone
  9: list<EntryInfo> entries
  /** Names of entry VMs that no longer poll. */
  10: list<string> gone_entries
  11: i64 entries_version
  /** Loads by the entry VMs that report to the control VM; absent if not
      requested. */
  12: optional list<UpstreamLoad> loads
  /** Units that the control VM's picker has admitted; sent with the loads. */
  13: list<AdmittedUnits> admitted
  /** Grants and demand of the control VM's picker; absent where it has no
      scheduled service. */
  14: optional GrantsInfo grants
}

struct PollReply {
  /** The control VM's process. */
  6: string source
  /** The control VM's own table and its copies of the others'. */
  1: list<TableNews> tables
  /** Loads by all other entry VMs; absent if not requested. */
  2: optional list<UpstreamLoad> loads
  /** Prefixes cached after the requested version. */
  3: list<PrefixInfo> prefixes
  4: i64 prefixes_version
  /** True if this control VM assigns destinations to its region's entry VMs. */
  5: bool gives_places
  /** Region of this control VM. */
  7: string region
  /** True if some table is stale here: an entry VM may send a newer copy. */
  8: bool misses_tables
  /** Suspected requests that changed after the requested version. */
  9: list<SuspectInfo> suspects
  10: i64 suspects_version
  /** True if grants of another control VM are wanted that does not answer here:
      some entry VMs poll it for them and send them at once. */
  11: optional bool wants_grants
  /** What upstreams have stated to entry VMs; absent for nothing. */
  12: optional UpstreamNotices notices
}

/** A pause that an upstream has asked an entry VM for. */
struct PauseInfo {
  1: string instance
  /** Milliseconds until it ends when this was sent. */
  2: i64 remaining_ms
}

/** From an entry VM to its region's picker: requests a destination. */
struct PlaceAsked {
  1: string entry_name
  2: LoadReport report
  3: string request_id
  /** Host and path prefix identify the route. */
  4: string host
  5: string path_prefix
  6: string service_name
  7: i32 prompt_tokens
  8: i32 shared_tokens
  /** Identifies the shared parts; absent if there are none. */
  9: optional i64 shared_key
  10: i32 remaining_ms
  /** Incarnations, VMs and regions that failed this request. */
  11: list<string> excluded
  /** True if it was forwarded here and must be served in this region. */
  12: bool local
  /** Organisation that sent it; absent for none. */
  13: optional string organisation
  /** Units that it counts in that organisation's limit. */
  14: double cost
  /** Upstreams to which this entry VM must not send now. */
  15: list<PauseInfo> pauses
  /** Maximum length of the answer in tokens, as stated by the request; absent
      if it states none. */
  18: optional i32 output_tokens
  /** The grant by which the request was handed over to this region. */
  20: optional GrantUseInfo grant
  /** Bytes of its body. */
  21: optional i64 body_bytes
  /** Milliseconds since an entry VM first asked for its destination; absent if
      the sender cannot wait for one. */
  16: optional i32 waited_ms
  /** Identifies its content; absent if the sender knows that the service is
      not scheduled. */
  17: optional binary fingerprint
}

/** The destination of a request: an upstream, an entry VM, or none. */
struct PlaceGiven {
  /** A member of `AssignmentKind`. */
  1: i32 kind
  /** The picker's process, and the number of the reservation. */
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
  /** Tokens of the upstream's memory reserved for the request, without its
      shared prefix. */
  18: optional i64 reserved_tokens
  /** The grant by which the request is handed over. */
  20: optional GrantUseInfo grant
  /** Identifies the request in the picker's queue, if it is queued. */
  12: optional i64 ticket
  /** True if requests to the service are queued. */
  13: optional bool is_scheduled
}

/** From an entry VM to its region's picker: waits for a decision on any of its
    queued requests. */
struct PlaceWait {
  1: string entry_name
  2: LoadReport report
  /** The picker's process that gave the tickets. */
  3: string source
  4: list<i64> tickets
  /** Tickets of requests that ended or were cancelled. */
  5: list<i64> withdrawn
}

struct PlaceDecided {
  1: i64 ticket
  2: PlaceGiven place
}

struct PlaceDecisions {
  /** The picker's process. */
  1: string source
  2: list<PlaceDecided> decided
  /** Tickets of the call that the picker does not know. */
  3: list<i64> unknown
}

/** The table of upstreams that a control VM stores on its disk. */
struct KeptUpstreams {
  1: list<UpstreamInfo> upstreams
  2: list<StartEnded> gone
  /** Requests that were lost to upstreams. */
  3: list<SuspectInfo> suspects
}

/** An upstream's departure, for the disk of another control VM; one is set. */
struct Departure {
  /** It drains: its newest announcement. */
  1: optional UpstreamInfo draining
  /** It is gone. */
  2: optional StartEnded gone
}

struct DepartureReply {
  /** True once the departure is on disk. */
  1: bool kept
}
