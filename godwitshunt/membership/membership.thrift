/** Membership: upstream leases within a region, summaries between regions. */
namespace py wire

/** Properties of an upstream; sent when new or changed, and on a fetch. */
struct Details {
  /** Assigned by the sender to (name, incarnation, these details). */
  1: i32 number
  2: string name
  3: i64 incarnation
  4: string service_name
  5: string host
  6: i32 port
  7: list<string> models
  8: list<string> adapters
  9: string role
  10: i32 slots
  11: double prefill_tokens_per_s
  12: double decode_tokens_per_s
  13: double price
  /** Bits: 1 resume, 2 priority, 4 fencing. */
  14: i32 honours
}

/** A departed upstream; the age is in milliseconds. */
struct Departure {
  1: string name
  2: i64 incarnation
  3: i64 sequence
  4: i64 age_ms
}

/** Changes of an upstream's reported prefix cache. */
struct Prefixes {
  1: i32 number
  2: list<i64> added
  3: list<i64> dropped
}

/** Capacity of a region for one service and model. */
struct Capacity {
  1: string service_name
  2: optional string model
  3: i32 free_slots
  4: i32 slots
  5: i32 wait_ms
  6: double price
}

/** Summary of a region. */
struct Summary {
  1: string region
  2: i64 age_ms
  3: i32 round_trip_ms
  4: list<Capacity> capacities
  /** Names of the region's VMs that accept no requests now. */
  5: list<string> absent
}

struct Batch {
  1: optional list<Details> details
  /**
   * Seven integers per upstream: number, sequence, age of the announcement in
   * ms, age of the measurement in ms, running, queued, queued tokens.
   */
  2: optional list<i64> loads
  3: optional list<Departure> departures
  4: optional list<Prefixes> prefixes
  5: optional list<Summary> summaries
}

/** Requests the upstream table of a peer in the region. */
struct Fetch {
  /** True: only upstreams that announce themselves to the peer. */
  1: bool own_only
}

/** One message to one peer of the region. */
struct Gossip {
  /** Random, drawn at the start of the process. */
  1: i32 session
  /** The sender's monotonic clock in ms; never compared with other clocks. */
  2: i64 clock_ms
  /** Last clock reading received from the receiver, and ms since then. */
  3: optional i32 echo_session
  4: optional i64 echo_ms
  5: optional i64 held_ms
  6: optional i64 digest
  7: optional bool draining
  /** An encoded Batch, identical for every receiver. */
  8: optional binary batch
}
