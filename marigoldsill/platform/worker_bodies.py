"""What workers of the platform say of themselves and list."""

from marigoldsill import errors
from marigoldsill.platform import fields as fields_module
from marigoldsill.platform import job_bodies
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes

_END_KINDS = {
    "done": ttypes.RunEndKind.DONE,
    "failed": ttypes.RunEndKind.FAILED,
    "stopped": ttypes.RunEndKind.STOPPED,
    "lapsed": ttypes.RunEndKind.LAPSED,
    # Another member of its gang ended.
    "broken": ttypes.RunEndKind.MEMBER_ENDED,
    # It waited in vain for the other members of its gang.
    "alone": ttypes.RunEndKind.MEMBERS_MISSING,
}


def decode_announcement(
    body: bytes, *, worker_id: str
) -> run_worker.Announcement:
    """What a heartbeat of a worker says.

    Raises:
        BadInputError: It can't be read.
    """
    beat = fields_module.decode_json(body, where="the heartbeat")
    labels = beat.texts("labels")
    worker = ttypes.PoolWorker(
        worker_id=worker_id,
        # "service" is the pool that the worker belongs to.
        pool=beat.text("service"),
        data_centre=beat.text("zone", default=""),
        rack=_rack(labels),
        labels=labels,
        capacity=job_bodies.resources(beat.table("capacity")),
        draining=beat.text("state", default="ready") == "draining",
        remaining_ms=beat.integer("remaining_ms", default=-1, low=-1),
        cold_remaining_ms=int(beat.number("cold_remaining_ms", default=0)),
    )
    return run_worker.Announcement(worker, beat.integer("sequence", default=0))


def decode_listing(body: bytes) -> run_worker.Listing:
    """The answer to a hold.

    Raises:
        PlatformError: It can't be read.
    """
    try:
        table = fields_module.decode_json(body, where="the worker's answer")
        return run_worker.Listing(
            clock_ms=table.integer("clock_ms"),
            running=[_running(row) for row in table.items("running")],
            ended=[_ended(row) for row in table.items("ended_runs")],
        )
    except (
        errors.BadInputError,
        ValueError,
        TypeError,
        KeyError,
        OverflowError,
    ) as error:
        raise errors.PlatformError(f"unreadable listing: {error}") from error


def _running(row: list) -> ttypes.RunLook:
    task, run, checkpoint_id, percent, *load = row
    return ttypes.RunLook(
        task=_task(task),
        run=int(run),
        percent=int(percent),
        load=int(load[0]) if load else 0,
        checkpoint_id=_text(checkpoint_id),
    )


def _ended(row: list) -> run_worker.EndedRun:
    number, task, run, how, checkpoint_id = row
    return run_worker.EndedRun(
        int(number),
        ttypes.RunEnd(
            task=_task(task),
            run=int(run),
            kind=_END_KINDS[how],
            checkpoint_id=_text(checkpoint_id),
        ),
    )


def _task(value: object) -> str:
    """A task's name; others would stop whoever looks its job up."""
    name = _text(value)
    task_names.parse(name)
    return name


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise errors.PlatformError(f"{value!r} in a listing is no text")
    return value


def _rack(labels: list[str]) -> str:
    """The second label is the rack; the first one is the worker's kind."""
    return labels[1] if len(labels) > 1 else ""
