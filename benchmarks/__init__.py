"""Benchmarks: decisions on virtual time, and loads on real processes."""
