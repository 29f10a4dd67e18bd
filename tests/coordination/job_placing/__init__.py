"""Tests of the rooms jobs and job_agent, and of their state."""
