"""Tests of the room leadership."""
