"""What the leader learns of run times, stalls and interference, and its records.

Other packages use only the modules listed here.
"""

__all__ = ["run_time_sampler", "stall_detector", "term_learning"]
