"""Tests of the benchmarks themselves."""
