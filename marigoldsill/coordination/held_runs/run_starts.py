"""Tracks the runs started on a worker, and which of them may have crashed it.

A worker that crashes reports nothing about its runs. The agent derives a lower
bound of each run's age from its start and the worker's last answer.
"""

import math

from marigoldsill.protocol import task_names

# Runs younger than this are suspected first: a task that crashes its worker usually
# does so at startup.
_STARTUP_S = 0.5
# If no run is that young, runs up to this age are suspected.
_SUSPECT_AGE_LIMIT_S = 5.0


class RunStarts:
    """Starts of runs on one incarnation of a worker.

    Not thread-safe: the owner's lock must be held for every call.
    """

    def __init__(self):
        self._unanswered: set[task_names.RunKey] = set()
        self._started_s: dict[task_names.RunKey, float] = {}
        self._listed: set[task_names.RunKey] = set()
        self._last_answer_s = -math.inf
        self._is_unreachable = False

    def record_sent(self, key: task_names.RunKey) -> None:
        """Records a start request, which may take effect without an answer.

        Requests sent while the worker is unreachable are ignored, as they start
        nothing.
        """
        if key not in self._started_s and not self._is_unreachable:
            self._unanswered.add(key)

    def record_not_started(self, key: task_names.RunKey) -> None:
        """Records that no start request for a run has taken effect."""
        self._unanswered.discard(key)

    def record_started(self, key: task_names.RunKey, *, now_s: float) -> None:
        """Records that a run is on the worker; the first call sets its start time."""
        self._unanswered.discard(key)
        self._started_s.setdefault(key, now_s)

    def record_listed(self, key: task_names.RunKey, *, now_s: float) -> None:
        """Records that the worker lists a run as running."""
        self.record_started(key, now_s=now_s)
        self._listed.add(key)

    def was_listed(self, key: task_names.RunKey) -> bool:
        """Whether the worker has listed a run that has not ended."""
        return key in self._listed

    def record_ended(self, key: task_names.RunKey) -> None:
        """Records that a run has ended."""
        self._listed.discard(key)
        self._unanswered.discard(key)
        self._started_s.pop(key, None)

    def record_answer(self, *, now_s: float) -> None:
        """Records the time of the worker's last answer."""
        self._last_answer_s = now_s
        self._is_unreachable = False

    def record_unreachable(self) -> None:
        """Records that a call to the worker got no answer."""
        self._is_unreachable = True

    def min_ages_s(self) -> dict[task_names.RunKey, float]:
        """Returns each run's minimum age at the worker's last answer.

        A run whose start request is unanswered may have started, so it is included
        with age 0.
        """
        ages_s = dict.fromkeys(self._unanswered, 0.0)
        for key, started_s in self._started_s.items():
            ages_s[key] = max(0.0, self._last_answer_s - started_s)
        return ages_s

    def startups(self) -> frozenset[task_names.RunKey]:
        """Returns the runs that may not have lived longer than a startup."""
        return frozenset(
            key
            for key, age_s in self.min_ages_s().items()
            if age_s < _STARTUP_S
        )

    def crash_suspects(self) -> frozenset[task_names.RunKey]:
        """Returns the runs to suspect if the worker has crashed."""
        ages_s = self.min_ages_s()
        youngest_s = min(ages_s.values(), default=math.inf)
        limit_s = (
            _STARTUP_S if youngest_s < _STARTUP_S else _SUSPECT_AGE_LIMIT_S
        )
        return frozenset(
            key for key, age_s in ages_s.items() if age_s < limit_s
        )

    def clear(self) -> None:
        """Removes all state before the next incarnation of the worker."""
        self._unanswered.clear()
        self._started_s.clear()
        self._listed.clear()
        self._last_answer_s = -math.inf
        self._is_unreachable = False
