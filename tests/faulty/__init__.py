"""Simulates a cell's scheduler under seeded faults, in virtual time."""
