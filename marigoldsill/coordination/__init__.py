"""Every decision, in packages by task; imports between them go one way.

From the lowest: agreement, leadership, discovery, configuration, requests, runs,
learning, placement, deciding, plans; beside the last four, job_placing, jobs and
job_agent.
"""
