"""Runs the real programs on one machine, with faults from outside, by seeds.

`python -m soak --help` says how; docs/SOAK.md says what is checked.
"""
