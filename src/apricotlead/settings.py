"""The settings file of an entry instance."""
