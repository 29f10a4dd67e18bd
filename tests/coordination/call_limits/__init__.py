"""Tests of the package requests."""
