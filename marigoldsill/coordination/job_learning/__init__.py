"""What the leader learns of jobs' run times and interference, and its records.

Other packages use only the modules listed here.
"""

__all__ = ["run_time_sampler", "term_learning"]
