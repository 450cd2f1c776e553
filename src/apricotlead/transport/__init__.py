"""Sockets, HTTP, pynng, clocks and the event loop."""

from warnings import filterwarnings

# eventlet warns of its deprecation at each import. The project's conventions
# require it, and only this layer depends on it.
filterwarnings('ignore', message=r'\s*Eventlet is deprecated')
