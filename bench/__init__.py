"""Benchmarks, demos and fuzzers that run the system or its reducers."""
