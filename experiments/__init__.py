"""Simulations of days of jobs, decided by marigoldsill's own modules."""
