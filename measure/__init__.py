"""Benchmarks of processor time, messages and recovery; not part of the product."""
