"""A cluster scheduler for services, batch and gang jobs in one cell."""
