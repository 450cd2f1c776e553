"""Simulates a cell's scheduler with seeded faults, without a network."""
