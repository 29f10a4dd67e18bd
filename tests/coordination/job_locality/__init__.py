"""Tests of how tasks are spread over racks and data centres."""
