"""Tables, indexes and the view of the cell."""
