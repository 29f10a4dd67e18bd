"""Tests of jobs."""
