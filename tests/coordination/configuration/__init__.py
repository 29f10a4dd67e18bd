"""Tests of the room configuration."""
