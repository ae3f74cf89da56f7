/** Reports of entry VMs to control replicas on their region's upstreams. */
namespace py wire

struct UpstreamInfo {
  1: string name
  2: string region
  3: string host
  4: i32 port
  /** Whether it refuses orders with an outdated fencing number. */
  5: bool honours_fencing
}

struct PlacementReport {
  1: list<UpstreamInfo> upstreams
}
