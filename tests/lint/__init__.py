"""Tests of lint."""
