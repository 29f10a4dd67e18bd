"""Choice of workers for tasks of jobs, and the order in which jobs are served.

Decisions are based on the agents' reports and on what was learnt of run times,
of interference between tasks and of workers that refuse or fail runs.
Other packages use only the modules listed here.
"""

__all__ = [
    "agents",
    "backlog",
    "evictions",
    "exploration",
    "free_capacity",
    "gangs",
    "placement",
    "relocation",
    "interference_model",
    "step_placement",
    "tickets",
    "trials",
    "urgency",
]
