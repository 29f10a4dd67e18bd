"""Tests of the room plans."""
