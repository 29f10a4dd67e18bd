"""What may decide in place of the product as it is, by name.

Switches live here and not in the product: each replaces a constant or a
function of one of its modules while a day is played.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from marigoldsill.coordination.job_agent import load_trends
from marigoldsill.coordination.job_agent import pacer
from marigoldsill.coordination.job_placing import placing
from marigoldsill.coordination.job_placing import relocating
from marigoldsill.coordination.job_placing import sharing
from marigoldsill.coordination.job_placing import urgency
from marigoldsill.coordination.learning import strain

Policy = Callable[[], contextlib.AbstractContextManager]

_NEVER = float("inf")
_PREFERENCE = placing.Placing._preference


@contextlib.contextmanager
def constants(**changes: tuple[object, object]) -> Iterator[None]:
    """Has modules use other constants while it lasts.

    Args:
        **changes: By the name of the constant: its module, and the value.
    """
    before = {n: getattr(module, n) for n, (module, _) in changes.items()}
    try:
        for name, (module, value) in changes.items():
            setattr(module, name, value)
        yield
    finally:
        for name, (module, _) in changes.items():
            setattr(module, name, before[name])


def _constant(module: object, name: str, value: object) -> Policy:
    return lambda: constants(**{name: (module, value)})


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


_BASELINES: dict[str, Policy] = {
    "product": contextlib.nullcontext,
    "fifo-first-fit": lambda: constants(
        rank=(urgency.Urgency, _first_in_first_out),
        _preference=(placing.Placing, _first_fit),
    ),
    "shortest-first": _constant(urgency.Urgency, "rank", _shortest_first),
    "no-sharing": lambda: constants(
        _disturbance=(
            placing.Placing,
            lambda _self, room, _step: 1.0 if room.serving else 0.0,
        ),
        _IDLE_LIMIT_S=(placing, _NEVER),
        _FULL_POOL_IDLE_LIMIT_S=(placing, _NEVER),
    ),
}
# One mechanism off, all others as they are.
ABLATION: dict[str, Policy] = {
    "no-pacing": lambda: constants(
        percent=(pacer.Pacer, lambda _self, _key: 100),
        first_percent=(pacer.Pacer, lambda _self, _order, _images: 100),
    ),
    "no-pairs-learnt": _constant(
        strain.StrainFilter, "added", lambda *_: strain._PAIR_MEAN
    ),
    "no-trends": _constant(
        load_trends.LoadTrends, "rise", lambda _self, _key: 0.0
    ),
    "no-idle-start": lambda: constants(
        _IDLE_LIMIT_S=(placing, _NEVER),
        _FULL_POOL_IDLE_LIMIT_S=(placing, _NEVER),
    ),
    "idle-start-at-once": _constant(placing, "_FULL_POOL_IDLE_LIMIT_S", 2.0),
    "no-moves": _constant(relocating.Relocating, "moves", lambda *_, **__: []),
    "usual-load-unknown": _constant(
        strain.StrainFilter, "usual", lambda *_: strain._ALONE_MEAN
    ),
    "starts-anyway": _constant(placing, "_START_LIMIT", _NEVER),
    "unseen-as-idle": _constant(sharing, "_UNSEEN_STRAIN", strain._ALONE_MEAN),
}
# Thresholds about halved and doubled, and what was tried instead.
_VARIED: dict[str, Policy] = {
    "goal-0.70": _constant(pacer, "_GOAL_STRAIN", strain.at_ratio(0.70)),
    "goal-0.78": _constant(pacer, "_GOAL_STRAIN", strain.at_ratio(0.78)),
    "goal-0.96": _constant(pacer, "_GOAL_STRAIN", strain.at_ratio(0.96)),
    "disturbance-0.1": _constant(placing, "_DISTURBANCE_LIMIT", 0.1),
    "disturbance-0.2": _constant(placing, "_DISTURBANCE_LIMIT", 0.2),
    "disturbance-0.3": _constant(placing, "_DISTURBANCE_LIMIT", 0.3),
    "disturbance-0.5": _constant(placing, "_DISTURBANCE_LIMIT", 0.5),
    "idle-start-10": _constant(placing, "_FULL_POOL_IDLE_LIMIT_S", 10.0),
    "idle-start-40": _constant(placing, "_FULL_POOL_IDLE_LIMIT_S", 40.0),
    "start-limit-0.85": _constant(
        placing, "_START_LIMIT", strain.at_ratio(0.85)
    ),
    "start-limit-1.3": _constant(placing, "_START_LIMIT", strain.at_ratio(1.3)),
    "wide-prior": _constant(strain, "_PAIR_VARIANCE", 0.02),
    "serving-apart": _constant(placing.Placing, "_preference", _serving_apart),
}
POLICIES = _BASELINES | ABLATION | _VARIED
