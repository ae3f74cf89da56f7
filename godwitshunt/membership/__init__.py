"""Who is there: entry VMs, upstreams with leases, other regions in sum."""
