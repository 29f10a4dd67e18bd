"""Tests of the room requests."""
