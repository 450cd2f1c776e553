"""Decisions of a cell's elected scheduler, and the election itself."""
