"""Benchmarks with regression bounds; `python -m benchmarks` runs them all."""
