"""The leader's scheduling rounds: commands from the state and the learnt models.

The package decides when a round runs, which runs and workers are lost, and which
commands are proposed.
Other packages use the modules listed here only.
"""

__all__ = [
    "watcher_absence",
    "control_service",
    "scheduler",
]
