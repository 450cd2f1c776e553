"""Sockets, HTTP, pynng, clocks and the one loop."""

from warnings import filterwarnings

# eventlet announces its end of life at each import. The house style asks for
# it; this layer is the only one that would change if it had to go.
filterwarnings('ignore', message=r'\s*Eventlet is deprecated')
