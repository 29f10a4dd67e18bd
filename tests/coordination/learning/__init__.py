"""Tests of the room learning."""
