"""A cell's scheduler under seeded faults, in virtual time, without network."""
