"""Which runs may have crashed their worker, by their minimum ages.

A worker that crashes reports nothing about its runs. The agent derives a lower bound of
each run's age from its start and the worker's last answer.
"""

from collections.abc import Mapping
import math

from marigoldsill.protocol import task_names

# Runs younger than this are suspected first: a task that crashes its worker usually
# does so at startup.
_STARTUP_S = 0.5
# If no run is that young, runs up to this age are suspected.
_SUSPECT_AGE_LIMIT_S = 5.0


def startups(
    ages_s: Mapping[task_names.RunKey, float],
) -> frozenset[task_names.RunKey]:
    """Returns the runs that may not have lived longer than a startup."""
    return _younger_than(_STARTUP_S, ages_s)


def suspects(
    ages_s: Mapping[task_names.RunKey, float],
) -> frozenset[task_names.RunKey]:
    """Returns the runs to suspect if the worker has crashed."""
    youngest_s = min(ages_s.values(), default=math.inf)
    return _younger_than(
        _STARTUP_S if youngest_s < _STARTUP_S else _SUSPECT_AGE_LIMIT_S, ages_s
    )


def _younger_than(
    limit_s: float, ages_s: Mapping[task_names.RunKey, float]
) -> frozenset[task_names.RunKey]:
    return frozenset(key for key, age_s in ages_s.items() if age_s < limit_s)
