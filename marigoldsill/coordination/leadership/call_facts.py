"""What an entry's call to the leader tells of itself, for the log and its callers."""

from marigoldsill.coordination.leadership import leader_outage
from marigoldsill.protocol.generated import ttypes


def set_age(requests: tuple[object, ...], age_s: float) -> None:
    """Sets since when a call about a job has been repeated, for the leader."""
    match requests:
        case (ttypes.JobAddress() as address, *_):
            address.call_age_ms = int(1000 * age_s)


def retry_after_ms(requests: tuple[object, ...]) -> int:
    """Returns when the caller of a call that found no leader should return."""
    run_time_ms = 0.0
    match requests:
        case (ttypes.JobAddress(), ttypes.Job(steps=[*steps])):
            run_time_ms = _estimated_run_time_ms(steps)
    return leader_outage.retry_after_ms(
        subject_of(requests), run_time_ms=run_time_ms
    )


def _estimated_run_time_ms(steps: list[ttypes.Step]) -> float:
    """Returns the length of the critical path of a job, as its caller estimates it."""
    ends_ms: list[float] = []
    for step in steps:
        begin_ms = max((ends_ms[earlier] for earlier in step.after), default=0)
        ends_ms.append(begin_ms + step.estimated_ms)
    return max(ends_ms, default=0)


def outcome_of(reply: object) -> str:
    """The outcome of an answered call, for the log and the metrics."""
    if isinstance(reply, ttypes.JobReply):
        return ttypes.JobOutcome(reply.outcome).name.lower()
    return "done"


def subject_of(requests: tuple[object, ...]) -> str:
    """The subject of a call for the log: a job id, a queue, a data centre or a routing."""
    match requests:
        case (ttypes.JobAddress(path=path), *_):
            return path.rpartition("/")[2] or path
        case (ttypes.Routing(version=version),):
            return f"routing-{version}"
        case (ttypes.SetEvacuation(data_centre=data_centre), *_):
            return data_centre
        case _:
            return "routing"
