"""Sockets, HTTP, pynng, clocks and the one loop."""
