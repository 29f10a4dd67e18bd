"""What workers of the platform say of themselves and list.

Heartbeats reach an agent without a proof of who wrote them. So each field must be
there as workers send it, used here or not: what lacks one is no worker's, and no
default may make a worker of it.
"""

import re

from marigoldsill import errors
from marigoldsill.platform import fields as fields_module
from marigoldsill.platform import job_bodies
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes

# An id is sent back to the worker in a header, and is a word of our logs. Workers'
# ids have about 10 characters.
_WORKER_ID = re.compile(r"[A-Za-z0-9._:~-]{1,128}")
# Whether a worker in that state leaves.
_DRAINING = {"ready": False, "draining": True}
# Its kind and its rack.
_LABELS_COUNT = 2
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


def decode_worker_id(text: str) -> str:
    """The id of a worker's life, as a call's path names it.

    Raises:
        BadInputError: It can be no worker's.
    """
    if not _WORKER_ID.fullmatch(text):
        raise errors.BadInputError(
            f"the id {text[:40]!r} is no worker's; accepted is "
            f"{_WORKER_ID.pattern}"
        )
    return text


def decode_announcement(
    body: bytes, *, worker_id: str
) -> run_worker.Announcement:
    """What a heartbeat of a worker says.

    Raises:
        BadInputError: It can't be read, or is no worker's.
    """
    beat = fields_module.decode_json(body, where="the heartbeat")
    labels = _labels(beat)
    worker = ttypes.PoolWorker(
        worker_id=decode_worker_id(worker_id),
        # "service" is the pool that the worker belongs to.
        pool=_word(beat, "service"),
        data_centre=_word(beat, "zone"),
        rack=labels[1],
        labels=labels,
        capacity=job_bodies.resources(
            beat.table("capacity", required=True), required=True
        ),
        draining=_is_draining(beat),
        remaining_ms=beat.integer("remaining_ms", default=-1, low=-1),
        cold_remaining_ms=int(beat.number("cold_remaining_ms")),
    )
    # These are of no use here, but what lacks them is no worker's.
    _word(beat, "address")
    beat.text("version")
    beat.integer("slots")
    return run_worker.Announcement(worker, beat.integer("sequence"))


def _word(beat: fields_module.Fields, name: str) -> str:
    """A text that names something."""
    value = beat.text(name)
    if not value:
        raise errors.BadInputError(
            f"{name} of {beat.where} is empty; accepted is a name"
        )
    return value


def _is_draining(beat: fields_module.Fields) -> bool:
    state = beat.text("state")
    if state not in _DRAINING:
        raise errors.BadInputError(
            f"state of {beat.where} is {state[:40]!r}; accepted are "
            f"{', '.join(_DRAINING)}"
        )
    return _DRAINING[state]


def _labels(beat: fields_module.Fields) -> list[str]:
    """The worker's kind, its rack, and what else it is called."""
    labels = beat.texts("labels")
    if len(labels) < _LABELS_COUNT or not all(labels):
        raise errors.BadInputError(
            f"labels of {beat.where} are {labels[:3]!r}; accepted are a kind "
            "and a rack"
        )
    return labels


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
