"""Tests of the room placement."""
