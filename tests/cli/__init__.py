"""Tests of cli."""
