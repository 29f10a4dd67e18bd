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
    "starts-anyway": lambda: day.constants(
        _START_LIMIT=(placing, float("inf"))
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


def _both(*names):
    @contextlib.contextmanager
    def policy():
        with contextlib.ExitStack() as stack:
            for name in names:
                stack.enter_context(POLICIES[name]())
            yield

    return policy


def _c(**kw):
    return lambda: day.constants(**kw)


POLICIES["limit-0.85"] = _c(_STRAIN_LIMIT=(placing, strain.at_ratio(0.85)))
POLICIES["limit-0.95"] = _c(_STRAIN_LIMIT=(placing, strain.at_ratio(0.95)))
POLICIES["dist-0.3"] = _c(_DISTURBANCE_LIMIT=(placing, 0.3))
POLICIES["dist-0.1"] = _c(_DISTURBANCE_LIMIT=(placing, 0.1))
POLICIES["moves-0.7s"] = _c(_SLOW_FOR_S=(relocating, 0.7))
POLICIES["moves-50"] = _c(_SLOW_PERCENT=(relocating, 50))
POLICIES["rise-50"] = _c(_RISE_PERCENT=(pacer, 50))
POLICIES["first-50"] = _c(_FIRST_PERCENT=(pacer, 50))
POLICIES["first-10"] = _c(_FIRST_PERCENT=(pacer, 10))
POLICIES["goal-0.96"] = _c(
    _GOAL_STRAIN=(pacer, strain.at_ratio(0.96)),
    _HIGH_STRAIN=(pacer, strain.at_ratio(1.0)),
)
POLICIES["goal-0.92h"] = _c(
    _GOAL_STRAIN=(pacer, strain.at_ratio(0.92)),
    _HIGH_STRAIN=(pacer, strain.at_ratio(0.97)),
)
for x in (
    "limit-0.85",
    "limit-0.95",
    "dist-0.3",
    "dist-0.1",
    "moves-0.7s",
    "moves-50",
    "rise-50",
    "first-50",
    "first-10",
    "idle-6",
    "serving-apart",
    "no-trends",
    "serving-graded",
):
    POLICIES["g+" + x] = _both("goal-0.92", x)
POLICIES["g"] = contextlib.nullcontext
POLICIES["var"] = _c(_PAIR_VARIANCE=(strain, 0.02))
POLICIES["var2"] = _c(_PAIR_VARIANCE=(strain, 0.02), _PAIR_MEAN=(strain, 0.1))
POLICIES["g+var"] = _both("g", "var")
POLICIES["g+var2"] = _both("g", "var2")
POLICIES["idle-20"] = _c(_IDLE_LIMIT_S=(placing, 20.0))
POLICIES["g+var+idle-6"] = _both("g", "var", "idle-6")
POLICIES["g+var+idle-20"] = _both("g", "var", "idle-20")
for d in (0.3, 0.4, 0.5, 0.7):
    for s in (0.74, 0.88):
        POLICIES[f"g+d{d}l{s}"] = _both("g", "_")
        POLICIES[f"d{d}l{s}"] = _c(
            _DISTURBANCE_LIMIT=(placing, d),
            _STRAIN_LIMIT=(placing, strain.at_ratio(s)),
        )
        POLICIES[f"g+d{d}l{s}"] = _both("g", f"d{d}l{s}")
