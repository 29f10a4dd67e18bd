"""Tests of the state on the disk and in the tables."""
