"""Tests of the decisions that several processes take together."""
