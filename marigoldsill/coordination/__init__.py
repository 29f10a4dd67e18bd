"""Decisions that several processes take together."""
