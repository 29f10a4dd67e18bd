"""Tests of the room agreement."""
