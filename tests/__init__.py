"""Tests of marigoldsill."""
