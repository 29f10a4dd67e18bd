"""Tests of the room discovery."""
