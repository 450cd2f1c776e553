"""Stand-ins that simulate the platform, executors and workers."""

from warnings import filterwarnings

# eventlet warns at each import that it is deprecated.
filterwarnings('ignore', message=r'\s*Eventlet is deprecated')
