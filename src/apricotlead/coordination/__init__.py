"""Decisions: leases, limits, routing, membership and recovery."""
