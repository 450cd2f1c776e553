"""Small stand-ins for the platform, executors and workers."""

from warnings import filterwarnings

# eventlet announces its end of life at each import.
filterwarnings('ignore', message=r'\s*Eventlet is deprecated')
