"""Decodes heartbeats and listings of the platform's workers.

Heartbeats reach an agent without authentication. So each field that workers send is
required, whether it is used here or not: a heartbeat that lacks one is not a worker's,
and a default could make it look like one.
"""

from collections.abc import Callable
import re
from typing import TypeVar

from marigoldsill import errors
from marigoldsill.platform import fields as fields_module
from marigoldsill.platform import job_bodies
from marigoldsill.protocol import incarnation_ids
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs

# An id is sent back to the worker in a header and logged as one word. Workers' ids
# have about 10 characters. It must not contain `incarnation_ids.SEPARATOR`.
_WORKER_ID = re.compile(r"[A-Za-z0-9._:~-]{1,128}")
# Whether a worker in a state is draining.
_DRAINING = {"ready": False, "draining": True}
# Maximum of a row's values that may be fractions, as for the integers of a body; a
# record's field can hold it.
_ROW_NUMBER_LIMIT = 1 << 53
# Maximum of a record's field of 32 bits; a complete run has 100.
_PERCENT_LIMIT = (1 << 31) - 1
# Maximum length of a row or a reason in a log line, in characters.
_LOGGED_LENGTH_LIMIT = 120
# Maximum number of ends in a listing, by the platform's specification.
_LISTED_ENDS_LIMIT = 500
_Row = TypeVar("_Row")
_END_KINDS = {
    "done": ttypes.RunEndKind.DONE,
    "failed": ttypes.RunEndKind.FAILED,
    "stopped": ttypes.RunEndKind.STOPPED,
    "lapsed": ttypes.RunEndKind.LAPSED,
    # Another member of its gang ended.
    "broken": ttypes.RunEndKind.MEMBER_ENDED,
    # The other members of its gang did not start in time.
    "alone": ttypes.RunEndKind.MEMBERS_MISSING,
}


def decode_worker_id(text: str) -> str:
    """Checks the id of a worker in a path and returns it.

    Raises:
        BadInputError: No worker can have this id.
    """
    if not _WORKER_ID.fullmatch(text):
        raise errors.BadInputError(
            f"the id {text[:40]!r} is no worker's; accepted is {_WORKER_ID.pattern}"
        )
    return text


def decode_announcement(
    body: bytes, *, worker_id: str
) -> run_worker.Announcement:
    """Decodes a worker's heartbeat.

    Args:
        body: The heartbeat.
        worker_id: The id in its path. The incarnation's id is this one, or contains it
            and the worker's start time ("born") where the worker sends that.

    Raises:
        BadInputError: The heartbeat is invalid, or cannot be a worker's.
    """
    heartbeat = fields_module.decode_json(body, where="the heartbeat")
    labels = _decode_labels(heartbeat)
    incarnation_id = decode_worker_id(worker_id)
    born_unix_ms = heartbeat.get_optional_integer("born")
    if born_unix_ms is not None:
        incarnation_id = incarnation_ids.compose(worker_id, born_unix_ms)
    worker = ttypes.PoolWorker(
        worker_id=incarnation_id,
        # "service" is the pool that the worker belongs to.
        pool=_decode_name(heartbeat, "service"),
        data_centre=_decode_name(heartbeat, "zone"),
        rack=_rack_of(labels),
        labels=labels,
        capacity=job_bodies.decode_resources(
            heartbeat.get_table("capacity", required=True), required=True
        ),
        draining=_decode_draining(heartbeat),
        remaining_ms=heartbeat.get_integer("remaining_ms", default=-1, low=-1),
        cold_remaining_ms=int(heartbeat.get_number("cold_remaining_ms")),
    )
    # These are not used here, but each worker sends them.
    _decode_name(heartbeat, "address")
    heartbeat.get_string("version")
    heartbeat.get_integer("slots")
    return run_worker.Announcement(worker, heartbeat.get_integer("sequence"))


def _decode_name(heartbeat: fields_module.Fields, name: str) -> str:
    """Returns a string that must not be empty."""
    value = heartbeat.get_string(name)
    if not value:
        raise errors.BadInputError(
            f"{name} of {heartbeat.where} is empty; accepted is a name"
        )
    return value


def _decode_draining(heartbeat: fields_module.Fields) -> bool:
    state = heartbeat.get_string("state")
    if state not in _DRAINING:
        raise errors.BadInputError(
            f"state of {heartbeat.where} is {state[:40]!r}; accepted "
            f"are {', '.join(_DRAINING)}"
        )
    return _DRAINING[state]


def _decode_labels(heartbeat: fields_module.Fields) -> list[str]:
    """Returns the worker's kind, its rack where there are racks, and other labels."""
    labels = heartbeat.get_strings("labels", required=True)
    if not all(labels):
        raise errors.BadInputError(
            f"labels of {heartbeat.where} are {labels[:3]!r}; accepted "
            "are names"
        )
    return labels


def _rack_of(labels: list[str]) -> str:
    """Returns the second label, which is the rack; the first is the worker's kind."""
    return labels[1] if len(labels) > 1 else ""


def decode_listing(
    body: bytes, *, worker_id: str = ""
) -> run_worker.RunListing:
    """Decodes the answer to a hold call; invalid rows are skipped and counted.

    Args:
        body: The answer.
        worker_id: The incarnation that was called; empty to accept any.

    Raises:
        OtherWorkerError: Another incarnation answered.
        PlatformError: The answer is invalid, or all rows of active runs are.
    """
    try:
        table = fields_module.decode_json(body, where="the worker's answer")
        check_answering(table, worker_id=worker_id, required=True)
        clock_ms = table.get_integer("clock_ms")
        running_rows = table.get_list("running")
        ended_rows = table.get_list("ended_runs")
    except errors.BadInputError as error:
        raise errors.PlatformError(f"unreadable listing: {error}") from error
    running = [
        row for row in _decode_rows(running_rows, _decode_running_row) if row
    ]
    if running_rows and not running:
        raise errors.PlatformError(
            f"unreadable listing: none of {len(running_rows)} rows of "
            "what runs can be read"
        )
    decoded_ends = _decode_rows(ended_rows, _decode_ended_row)
    ended = [row for row in decoded_ends if row]
    return run_worker.RunListing(
        clock_ms=clock_ms,
        running=running,
        ended=ended,
        unread_running_count=len(running_rows) - len(running),
        unread_ended_count=len(ended_rows) - len(ended),
        is_ends_partial=(
            len(ended) < len(ended_rows)
            or len(ended_rows) >= _LISTED_ENDS_LIMIT
        ),
        read_ended_count=(
            decoded_ends.index(None) if None in decoded_ends else None
        ),
    )


def check_answering(
    answer: fields_module.Fields, *, worker_id: str, required: bool
) -> None:
    """Checks that an answer is by the incarnation that was called.

    Args:
        answer: The answer.
        worker_id: The incarnation that was called; empty to accept any.
        required: Whether the answer must tell the start time ("born") of a worker that
            announced it.

    Raises:
        OtherWorkerError: Another incarnation answered.
        BadInputError: The answer does not tell the start time.
    """
    if not worker_id:
        return
    called_ms = incarnation_ids.started_unix_ms_of(worker_id)
    born_unix_ms = answer.get_optional_integer("born")
    if born_unix_ms is None:
        if called_ms is not None and required:
            raise errors.BadInputError(
                f"born of {answer.where} is missing; accepted is the time of the "
                "worker's start, as in its heartbeats"
            )
        return
    if born_unix_ms != called_ms:
        name = incarnation_ids.name_of(worker_id)
        answering_id = incarnation_ids.compose(name, born_unix_ms)
        raise errors.OtherWorkerError(
            f"incarnation {answering_id} answered a call to {worker_id}",
            answering_id=answering_id,
        )


def _decode_rows(
    rows: list, decode: Callable[[list], _Row]
) -> list[_Row | None]:
    """Decodes rows; invalid ones are logged and are None."""
    decoded: list[_Row | None] = []
    for row in rows:
        try:
            decoded.append(decode(row))
        except (
            errors.MarigoldsillError,
            ValueError,
            TypeError,
            KeyError,
        ) as error:
            decoded.append(None)
            logs.event(
                "row_unread",
                level="WARNING",
                row=repr(row)[:_LOGGED_LENGTH_LIMIT],
                reason=str(error)[:_LOGGED_LENGTH_LIMIT],
            )
    return decoded


def _decode_running_row(row: list) -> ttypes.RunSample:
    task, run, checkpoint_id, percent, *load = row
    return ttypes.RunSample(
        task=_decode_task(task),
        run=_decode_positive(run),
        percent=_decode_number(percent, high=_PERCENT_LIMIT),
        load=_decode_number(load[0]) if load else 0,
        checkpoint_id=_decode_string(checkpoint_id),
    )


def _decode_ended_row(row: list) -> run_worker.EndedRun:
    number, task, run, kind, checkpoint_id = row
    return run_worker.EndedRun(
        _decode_positive(number),
        ttypes.RunEnd(
            task=_decode_task(task),
            run=_decode_positive(run),
            kind=_END_KINDS[kind],
            checkpoint_id=_decode_string(checkpoint_id),
        ),
    )


def _decode_task(value: object) -> str:
    """Returns a valid task name; an invalid one would fail the lookup of its job."""
    name = _decode_string(value)
    task_names.parse(name)
    return name


def _decode_positive(value: object) -> int:
    """Returns an integer of at least 1."""
    return _as_fields(value).get_integer("value", low=1)


def _decode_number(value: object, *, high: int = _ROW_NUMBER_LIMIT) -> int:
    """Returns a number without its fraction.

    Raises:
        BadInputError: It is not a number, or larger than a record can hold.
    """
    number = int(_as_fields(value).get_number("value"))
    if number > high:
        raise errors.BadInputError(f"{number} in a row is more than {high}")
    return number


def _decode_string(value: object) -> str:
    """Returns a string that can be encoded as UTF-8."""
    return _as_fields(value).get_string("value")


def _as_fields(value: object) -> fields_module.Fields:
    return fields_module.Fields({"value": value}, where="a row")
