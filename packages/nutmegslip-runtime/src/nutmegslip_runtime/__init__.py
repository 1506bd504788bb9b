"""Hold what both programs share around the pure reducers."""
