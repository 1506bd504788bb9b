"""Answer callers and operators on an entry host."""
