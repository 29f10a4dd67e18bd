"""Tests of the policies between the backlog and the placement."""
