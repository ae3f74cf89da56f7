/** Placement: what entry VMs tell control replicas of their upstreams. */
namespace py wire

struct UpstreamInfo {
  1: string name
  2: string region
  3: string host
  4: i32 port
  /** Whether it refuses orders with an old fencing number. */
  5: bool honours_fencing
}

struct PlacementReport {
  1: list<UpstreamInfo> upstreams
}
