"""Every decision, in rooms by job; imports go one way between them.

From the lowest: agreement, leadership, configuration, requests, runs, learning,
placement, deciding, plans; beside the last four, job_placing, jobs and
job_agent.
"""
