"""Demonstration of a whole cell, and the helpers that start one."""
