"""Tests of the admission of jobs."""
