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

/** From an entry VM to every control VM, a few times a second. */
struct Poll {
  1: EntryInfo entry
  /** The table that the entry VM holds, and its version; empty for none. */
  2: string source
  3: i64 version
  /** Version of the list of entry VMs in that table. */
  5: i64 entries_version
  /** The entry VM's own requests. */
  4: list<UpstreamLoad> loads
  /** What the entry VM's requests have shown since the last poll. */
  6: list<PrefixInfo> prefixes
  /** Version of the held prefixes that it has heard of here; a negative one
      asks for none, since another control VM tells of them. */
  7: i64 prefixes_version
}

struct PollReply {
  /** Drawn at each start of the control VM's process. */
  1: string source
  2: i64 version
  /** True where the reply is the whole table and not what has changed. */
  3: bool whole
  4: list<UpstreamInfo> upstreams
  /** Starts that ended: they left or were replaced, and never come back. */
  12: list<StartEnded> gone
  6: list<EntryInfo> entries
  /** Names of entry VMs that are not heard any more. */
  7: list<string> gone_entries
  /** Requests of all other entry VMs together. */
  8: list<UpstreamLoad> loads
  9: i64 entries_version
  /** Prefixes that were read after the version asked for. */
  10: list<PrefixInfo> prefixes
  11: i64 prefixes_version
}

/** What a control VM keeps on its disk of upstreams. */
struct KeptUpstreams {
  1: list<UpstreamInfo> upstreams
  2: list<StartEnded> gone
}
