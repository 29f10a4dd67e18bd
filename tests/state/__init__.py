"""Tests of marigoldsill.state."""
