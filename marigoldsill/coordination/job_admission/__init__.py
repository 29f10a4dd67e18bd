"""Whether a job is accepted, and when a rejected one may be submitted again.

The decisions are made by the leader from a summary of the load, and run in tests
without a network. Other packages use only the modules listed here.
"""

__all__ = [
    "admission",
    "admission_settings",
    "begun_jobs",
    "begun_runs",
    "decision_log",
    "load",
    "load_publisher",
    "submission_handler",
]
