"""What may decide in place of the product as it is, by name.

Switches live here and not in the product: each replaces a constant or a
function of one of its modules while a day is played.
"""

from collections.abc import Callable
import contextlib

from experiments import day
from marigoldsill.coordination.job_agent import load_trends
from marigoldsill.coordination.job_agent import pacer
from marigoldsill.coordination.job_placing import placing
from marigoldsill.coordination.job_placing import relocating
from marigoldsill.coordination.job_placing import urgency
from marigoldsill.coordination.learning import strain

_PREFERENCE = placing.Placing._preference

Policy = Callable[[], contextlib.AbstractContextManager]


def _first_in_first_out(_self, record, queue, _occurrence, **_: object):
    return urgency.Rank(queue.priority, 0, record.job.accepted_unix_ms)


def _shortest_first(self, record, queue, _occurrence, **_: object):
    work_ms = self.work_ms(record.job, queue)
    return urgency.Rank(queue.priority, 0, work_ms)


def _first_fit(_self, _step, _room):
    return 0


def _serving_apart(self, step, room):
    """Tasks that serve go where only their image serves, or nothing does."""
    if not step.tail_target_ms:
        return _PREFERENCE(self, step, room)
    others = {s.image for s in room.serving} - {step.image}
    is_near = room.worker.rack == step.preferred_rack
    return is_near, -len(others), bool(room.serving), -room.cpu_millicores


POLICIES: dict[str, Policy] = {
    "product": contextlib.nullcontext,
    "fifo-first-fit": lambda: day.constants(
        rank=(urgency.Urgency, _first_in_first_out),
        _preference=(placing.Placing, _first_fit),
    ),
    "shortest-first": lambda: day.constants(
        rank=(urgency.Urgency, _shortest_first)
    ),
    "serving-apart": lambda: day.constants(
        _preference=(placing.Placing, _serving_apart)
    ),
    "no-sharing": lambda: day.constants(
        _disturbance=(
            placing.Placing,
            lambda _self, room, _step: 1.0 if room.serving else 0.0,
        ),
        _IDLE_LIMIT_S=(placing, float("inf")),
    ),
    "no-pacing": lambda: day.constants(
        percent=(pacer.Pacer, lambda _self, _key: 100),
        first_percent=(pacer.Pacer, lambda _self, _order, _images: 100),
    ),
    "no-pairs-learnt": lambda: day.constants(
        added=(strain.StrainFilter, lambda *_: strain._PAIR_MEAN)
    ),
    "no-trends": lambda: day.constants(
        rise=(load_trends.LoadTrends, lambda _self, _key: 0.0)
    ),
    "no-idle-start": lambda: day.constants(
        _IDLE_LIMIT_S=(placing, float("inf"))
    ),
    "no-moves": lambda: day.constants(
        moves=(relocating.Relocating, lambda *_, **__: [])
    ),
    "usual-load-unknown": lambda: day.constants(
        usual=(strain.StrainFilter, lambda *_: strain._ALONE_MEAN)
    ),
    "disturbance-0.5": lambda: day.constants(_DISTURBANCE_LIMIT=(placing, 0.5)),
    "disturbance-1.0": lambda: day.constants(_DISTURBANCE_LIMIT=(placing, 1.0)),
    "goal-0.70": lambda: day.constants(
        _GOAL_STRAIN=(pacer, strain.at_ratio(0.70))
    ),
    "goal-0.92": lambda: day.constants(
        _GOAL_STRAIN=(pacer, strain.at_ratio(0.92))
    ),
    "idle-6": lambda: day.constants(_IDLE_LIMIT_S=(placing, 6.0)),
    "goal-0.86": lambda: day.constants(
        _GOAL_STRAIN=(pacer, strain.at_ratio(0.86))
    ),
}


def _serving_graded(self, step, room):
    """Same image first, then an empty one while several are, then least mixed."""
    if not step.tail_target_ms:
        return _PREFERENCE(self, step, room)
    others = {s.image for s in room.serving} - {step.image}
    is_near = room.worker.rack == step.preferred_rack
    same = any(s.image == step.image for s in room.serving)
    return (
        is_near,
        same and not others,
        bool(room.serving),
        -len(others),
        -room.cpu_millicores,
    )


POLICIES["serving-graded"] = lambda: day.constants(
    _preference=(placing.Placing, _serving_graded)
)
