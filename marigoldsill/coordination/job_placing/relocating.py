"""Moves tasks that fill away from where they hardly get any speed."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import evictions
from marigoldsill.coordination.job_placing import placing as placing_module
from marigoldsill.coordination.job_placing import rooms as rooms_module
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables

# A task whose pace stays below this for so long is as good as stopped.
_SLOW_PERCENT = 30
_SLOW_FOR_S = 1.5
# Without checkpoints only a run that has just begun is worth starting anew.
_LOST_PERCENT = 15
# A few at a time, since what gives way changes what is right for the others.
_MOVES_LIMIT = 4
# The way to another worker is worth it only for a clear gain.
_DISTURBANCE_LIMIT = 0.5


class Relocating:
    """Finds runs that have been slow for a while and fit elsewhere."""

    def __init__(self):
        self._slow_since_s: dict[task_names.RunKey, float] = {}

    def moves(
        self,
        jobs: job_tables.JobTables,
        views: Iterable[agents_module.AgentView],
        rooms: Sequence[rooms_module.Room],
        placing: placing_module.Placing,
        *,
        is_evicted: Callable[[task_names.RunKey], bool],
    ) -> list[evictions.Eviction]:
        """Runs that should give way now."""
        slow = {
            key: (view, look)
            for view in views
            for key, look in view.looks.items()
            if look.pace_percent < _SLOW_PERCENT
        }
        self._slow_since_s = {
            key: self._slow_since_s.get(key, view.looked_s)
            for key, (view, _) in slow.items()
        }
        moves: list[evictions.Eviction] = []
        for key, (view, look) in slow.items():
            if len(moves) >= _MOVES_LIMIT:
                break
            slow_s = view.looked_s - self._slow_since_s[key]
            if slow_s < _SLOW_FOR_S or is_evicted(key):
                continue
            step = jobs.step_of(key[0])
            if step is None or not _is_worth_it(step, look):
                continue
            if _is_advised(jobs, key[0]):
                # Where else it may run is known only once the adviser has said.
                continue
            others = [room for room in rooms if room.agent != view.name]
            pool = view.worker.pool if view.worker else ""
            room = placing.best_for_filling(
                step, pool, others, limit=_DISTURBANCE_LIMIT
            )
            if room is not None:
                step_key = task_names.parse(key[0]).step_key
                placing.take(room, step_key, step)
                moves.append(evictions.Eviction(key, view.name))
        return moves


def _is_advised(jobs: job_tables.JobTables, task: str) -> bool:
    record = jobs.jobs[task_names.parse(task).job_id]
    return jobs.queue_of(record).advised


def _is_worth_it(step: ttypes.Step, look: ttypes.RunLook) -> bool:
    return step.checkpointing or look.percent < _LOST_PERCENT
