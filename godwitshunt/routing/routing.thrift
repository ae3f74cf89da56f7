/** Messages between entry VMs about callers' limits. */
namespace py wire

/** Update of one VM to one peer; a lost one only delays a lease. */
struct LimitGossip {
  /** Random number of the sender's process. */
  1: i64 incarnation
  /** Sender's monotonic clock in seconds. */
  2: double stamp_s
  /** The receiver's process and clock, as last received by the sender. */
  3: i64 echo_incarnation
  4: double echo_stamp_s
  /** Demand beyond the sender's quota, in requests per second by caller. */
  5: map<string, double> unmet_per_s
  /** Rates that the sender leases to the receiver, in requests per second. */
  6: map<string, double> lent_per_s
}
