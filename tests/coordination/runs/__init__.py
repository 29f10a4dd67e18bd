"""Tests of the room runs."""
