"""Decision logic: leases, limits, routing, membership and recovery."""
