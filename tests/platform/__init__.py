"""Models of the users' platform for the process tests of the adapter."""
