"""Control admission to one upstream from a sidecar process."""
