"""The users' platform as the process tests of the adapter meet it."""
