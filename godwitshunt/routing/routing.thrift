/** Messages between entry VMs about callers' limits. */
namespace py wire

/** What one VM tells one peer; a lost one only delays a share's move. */
struct LimitGossip {
  /** Random number of the sender's process. */
  1: i64 incarnation
  /** Sender's monotonic clock in seconds. */
  2: double stamp_s
  /** The receiver's process and clock, as last heard by the sender. */
  3: i64 echo_incarnation
  4: double echo_stamp_s
  /** Requests a second that callers ask for beyond the sender's quota. */
  5: map<string, double> unmet_per_s
  /** Requests a second that the sender lends to the receiver. */
  6: map<string, double> lent_per_s
}
