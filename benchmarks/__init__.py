"""Benchmarks of decisions on virtual time and of load on real processes."""
