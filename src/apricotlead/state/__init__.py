"""In-memory state: tables, indexes and views of the cell."""
