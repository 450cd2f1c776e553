"""Decisions of the one elected scheduler of a cell, and of its election."""
