"""Tests of the package request_limits."""
