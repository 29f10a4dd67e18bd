"""Slopes that the capacity page is worked out from."""
