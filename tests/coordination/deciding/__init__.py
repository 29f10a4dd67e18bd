"""Tests of the room deciding."""
