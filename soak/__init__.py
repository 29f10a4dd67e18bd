"""Runs the real programs on one machine while faults are injected from a seed.

`python -m soak --help` lists the options; docs/SOAK.md says what is checked.
"""
