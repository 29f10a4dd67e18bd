"""Tests of marigoldsill.coordination."""
