"""Decide everything the load balancer decides, without any I/O."""
