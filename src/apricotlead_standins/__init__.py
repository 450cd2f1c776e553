"""Small stand-ins for the platform, executors and workers."""
