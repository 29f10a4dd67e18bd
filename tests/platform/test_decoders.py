"""Decoding any body returns a typed message or raises a typed error."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from marigoldsill import errors
from marigoldsill.platform import job_bodies
from marigoldsill.platform import routing_bodies
from marigoldsill.platform import settings_file
from marigoldsill.platform import worker_bodies
from marigoldsill.protocol import codec

_SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20)
    | strategies.sampled_from(["\ud800", "1" * 5000])
)
_VALUES = strategies.recursive(
    _SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=6,
)


def _similar_to(table: dict) -> strategies.SearchStrategy[dict]:
    """Returns tables like a valid one, with arbitrary values in some fields."""

    def mutated(value: object) -> strategies.SearchStrategy[object]:
        match value:
            case dict():
                nested = strategies.fixed_dictionaries(
                    {k: mutated(v) for k, v in value.items()}
                )
            case list():
                nested = strategies.lists(
                    strategies.one_of([mutated(v) for v in value]), max_size=3
                )
            case _:
                nested = strategies.just(value)
        return strategies.one_of(nested, nested, nested, _VALUES)

    return mutated(table)


_JOB = {
    "spec": "work 1",
    "steps": [
        {
            "count": 2,
            "cpu": 500,
            "mem_mb": 64,
            "gpu": 0,
            "estimated_ms": 900,
            "affinity": "r1-3",
            "requirements": "a",
            "anti_affinity": 1,
            "target_ms": 150,
            "miss_tolerance": 1,
        },
        {"count": 1, "after": [0], "gang": True, "same_rack": True},
    ],
    "repeat_count": 2,
    "initial_delay_ms": 1_000,
    "interval_ms": 500,
}
_ROUTING = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "h.example",
            "path_prefix": "/p/",
            "timeout_ms": 3000,
            "service": "s",
            "stretch_factor": 2.0,
            "recommendation": {"decision_ms": 5, "validity_ms": 1000},
        }
    ],
    "services": [{"name": "s", "enforce_limits": False}],
    "limits": {},
}
_HEARTBEAT = {
    "service": "s",
    "address": "127.0.0.1:8080",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "labels": ["a", "r1"],
    "capacity": {"cpu": 1000, "mem_mb": 64, "gpu": 0},
    "cold_remaining_ms": 0,
    "sequence": 4,
}
_LISTING = {
    "clock_ms": 5,
    "running": [["j.0.0.1", 2, "", 41, 7]],
    "ended_runs": [[58, "j.0.0.9", 1, "done", ""]],
}


def _bytes_of(value: object) -> bytes:
    return json.dumps(value).encode()


@hypothesis.given(
    strategies.binary(max_size=60) | _similar_to(_JOB).map(_bytes_of)
)
def test_a_job_is_decoded_or_refused(body: bytes) -> None:
    try:
        job = job_bodies.decode(body, job_id="j")
    except errors.BadInputError:
        return
    assert job.steps


@hypothesis.given(_similar_to(_ROUTING).map(_bytes_of))
def test_a_configuration_is_decoded_or_refused(body: bytes) -> None:
    try:
        routing = routing_bodies.decode(body)
    except errors.BadInputError:
        return
    assert routing.document == body


@hypothesis.given(_similar_to(_HEARTBEAT).map(_bytes_of))
def test_a_heartbeat_is_decoded_or_refused(body: bytes) -> None:
    try:
        announcement = worker_bodies.decode_announcement(body, worker_id="i-1")
    except errors.BadInputError:
        return
    assert announcement.worker.worker_id == "i-1"
    assert announcement.worker.pool
    assert all(announcement.worker.labels)
    codec.encode(announcement.worker)


@hypothesis.given(
    field=strategies.sampled_from(sorted(_HEARTBEAT)), value=_VALUES
)
def test_a_heartbeat_with_any_value_in_a_field_is_decoded_or_refused(
    field: str, value: object
) -> None:
    body = _bytes_of(_HEARTBEAT | {field: value})
    try:
        announcement = worker_bodies.decode_announcement(body, worker_id="i-1")
    except errors.BadInputError:
        return
    codec.encode(announcement.worker)


@hypothesis.given(strategies.binary(max_size=60))
def test_any_bytes_as_a_heartbeat_are_refused(body: bytes) -> None:
    with pytest.raises(errors.BadInputError):
        worker_bodies.decode_announcement(body, worker_id="i-1")


@hypothesis.given(strategies.text(max_size=300))
def test_any_accepted_worker_id_is_valid_in_a_header(worker_id: str) -> None:
    try:
        announcement = worker_bodies.decode_announcement(
            _bytes_of(_HEARTBEAT), worker_id=worker_id
        )
    except errors.BadInputError:
        return
    text = announcement.worker.worker_id
    assert text
    assert text.isascii()
    assert text.isprintable()
    assert " " not in text


@pytest.mark.parametrize("field", sorted(_HEARTBEAT))
def test_a_heartbeat_without_a_field_is_refused(field: str) -> None:
    """Guards against defaults for missing fields.

    Another writer sends a heartbeat with the worker's id but without some fields.
    With defaults, it is read as a worker with no rack, no capacity and the state
    "ready". Then no tasks are placed on a healthy worker, or tasks are placed on one
    without free capacity.
    """
    body = _bytes_of({k: v for k, v in _HEARTBEAT.items() if k != field})
    with pytest.raises(errors.BadInputError, match=field):
        worker_bodies.decode_announcement(body, worker_id="i-1")


@pytest.mark.parametrize("field", ["cpu", "mem_mb", "gpu"])
def test_a_heartbeat_without_a_field_of_its_capacity_is_refused(
    field: str,
) -> None:
    capacity = {k: v for k, v in _HEARTBEAT["capacity"].items() if k != field}
    body = _bytes_of(_HEARTBEAT | {"capacity": capacity})
    with pytest.raises(errors.BadInputError, match=field):
        worker_bodies.decode_announcement(body, worker_id="i-1")


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("state", "leaving"),
        ("state", ""),
        ("service", ""),
        ("zone", ""),
        ("address", ""),
        ("version", 1),
        ("slots", -1),
        ("sequence", -1),
        ("sequence", 1 << 60),
        ("labels", [""]),
        ("labels", ["a", ""]),
        ("labels", ["a", 7]),
        ("labels", "a"),
        ("capacity", [1, 2, 3]),
    ],
)
def test_a_heartbeat_with_an_invalid_value_is_refused(
    field: str, value: object
) -> None:
    """Guards against reading any state but "draining" as "ready".

    Tasks would be placed on a worker that accepts none.
    """
    body = _bytes_of(_HEARTBEAT | {field: value})
    with pytest.raises(errors.BadInputError, match=field):
        worker_bodies.decode_announcement(body, worker_id="i-1")


@pytest.mark.parametrize(
    "born", [None, True, 1.5, 1e12, -1, "1796321744609", 1 << 60, [], {}]
)
def test_an_invalid_start_time_is_refused(born: object) -> None:
    """Guards against heartbeats of other writers that replace the worker."""
    body = _bytes_of(_HEARTBEAT | {"born": born})
    with pytest.raises(errors.BadInputError, match="born"):
        worker_bodies.decode_announcement(body, worker_id="i-1")
    listing = _bytes_of(_LISTING | {"born": born})
    for worker_id in ("i-1", "i-1@7"):
        with pytest.raises(errors.PlatformError, match="born") as caught:
            worker_bodies.decode_listing(listing, worker_id=worker_id)
        assert not isinstance(caught.value, errors.OtherWorkerError)


def test_the_start_time_of_a_worker_is_part_of_its_incarnation() -> None:
    announcement = worker_bodies.decode_announcement(
        _bytes_of(_HEARTBEAT | {"born": 1796321744609}), worker_id="i-1"
    )
    assert announcement.worker.worker_id == "i-1@1796321744609"


def test_an_id_cannot_contain_a_start_time() -> None:
    for text in ("i-1@7", "@", "i-1@"):
        with pytest.raises(errors.BadInputError, match="id"):
            worker_bodies.decode_worker_id(text)


def test_a_listing_of_another_start_is_another_incarnations() -> None:
    """Guards against taking the ends of one incarnation for those of another."""
    body = _bytes_of(_LISTING | {"born": 9})
    for worker_id in ("i-1", "i-1@7"):
        with pytest.raises(errors.OtherWorkerError) as caught:
            worker_bodies.decode_listing(body, worker_id=worker_id)
        assert caught.value.answering_id == "i-1@9"
    assert worker_bodies.decode_listing(body, worker_id="i-1@9").running


def test_a_listing_without_the_start_time_that_was_announced_is_unreadable() -> (
    None
):
    body = _bytes_of(_LISTING)
    with pytest.raises(errors.PlatformError, match="born") as caught:
        worker_bodies.decode_listing(body, worker_id="i-1@7")
    assert not isinstance(caught.value, errors.OtherWorkerError)
    assert worker_bodies.decode_listing(body, worker_id="i-1").running


def test_a_listing_of_500_ends_may_lack_others() -> None:
    rows = [[number, "j.0.0.9", 1, "done", ""] for number in range(1, 501)]
    for count, is_partial in ((499, False), (500, True)):
        body = _bytes_of(_LISTING | {"ended_runs": rows[:count]})
        assert worker_bodies.decode_listing(body).is_ends_partial == is_partial


@pytest.mark.parametrize("labels", [[], ["a"]])
def test_a_worker_without_a_rack_is_accepted(labels: list) -> None:
    body = _bytes_of(_HEARTBEAT | {"labels": labels})
    announcement = worker_bodies.decode_announcement(body, worker_id="i-1")
    assert announcement.worker.labels == labels
    assert not announcement.worker.rack


@pytest.mark.parametrize(
    "worker_id", ["", "i 1", "i\n1", "i/1", "\u00e9", "\ufffd", "i" * 1_000]
)
def test_an_invalid_worker_id_is_refused(worker_id: str) -> None:
    """Guards against heartbeats with invalid ids that end the lease renewal.

    Another writer sends a heartbeat with an empty id, or with one that is invalid in
    a header. The empty id ended the loop of the lease renewer, and for the other one
    the call to the worker raised an unexpected error. All runs on a healthy worker
    are then killed some seconds later, and none starts there until its agent
    restarts.
    """
    with pytest.raises(errors.BadInputError, match="id"):
        worker_bodies.decode_announcement(
            _bytes_of(_HEARTBEAT), worker_id=worker_id
        )


@pytest.mark.parametrize("mem_mb", [1 << 44, 1 << 53])
def test_memory_that_exceeds_a_records_field_is_refused(mem_mb: int) -> None:
    """Guards against heartbeats with too much memory that end the reporter.

    The number of megabytes is within bounds, but the number of bytes is not, so
    encoding the report to the leader raises an unexpected error. The agent's lease
    then expires, and all runs on the worker are killed.
    """
    capacity = _HEARTBEAT["capacity"] | {"mem_mb": mem_mb}
    body = _bytes_of(_HEARTBEAT | {"capacity": capacity})
    with pytest.raises(errors.BadInputError, match="mem_mb"):
        worker_bodies.decode_announcement(body, worker_id="i-1")
    steps = [{"count": 1, "mem_mb": mem_mb}]
    with pytest.raises(errors.BadInputError, match="mem_mb"):
        job_bodies.decode(_bytes_of({"spec": "x", "steps": steps}), job_id="j")


@hypothesis.given(_similar_to(_LISTING).map(_bytes_of))
def test_a_listing_is_decoded_or_a_platform_error(body: bytes) -> None:
    try:
        listing = worker_bodies.decode_listing(body)
    except errors.PlatformError:
        return
    assert listing.clock_ms >= 0


def test_valid_bodies_are_decoded() -> None:
    assert job_bodies.decode(_bytes_of(_JOB), job_id="j").repeat_count == 2
    assert routing_bodies.decode(_bytes_of(_ROUTING)).version == 7
    worker_bodies.decode_announcement(_bytes_of(_HEARTBEAT), worker_id="i-1")
    assert worker_bodies.decode_listing(_bytes_of(_LISTING)).running


def test_a_job_with_too_many_tasks_in_all_steps_is_refused() -> None:
    steps = [{"count": 10_000}] * 1_000
    body = _bytes_of({"spec": "x", "steps": steps})
    with pytest.raises(errors.BadInputError, match="tasks"):
        job_bodies.decode(body, job_id="j")


@hypothesis.given(
    strategies.text(alphabet="abc=[]{}\"'1.\n ", max_size=80)
    | strategies.binary(max_size=40)
)
@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
def test_a_settings_file_is_read_or_refused(tmp_path, content) -> None:
    path = tmp_path / "node.toml"
    if isinstance(content, str):
        content = content.encode()
    path.write_bytes(content)
    with pytest.raises(errors.SettingsError):
        settings_file.load(path)


def test_a_listing_with_only_an_invalid_task_name_is_a_platform_error() -> None:
    rows = [["no-task", 1, "", 41, 7]]
    body = _bytes_of(_LISTING | {"running": rows})
    with pytest.raises(errors.PlatformError):
        worker_bodies.decode_listing(body)


@hypothesis.given(
    rows=strategies.lists(_VALUES, max_size=4),
    ended=strategies.lists(_VALUES, max_size=4),
)
def test_invalid_rows_do_not_affect_valid_ones(rows: list, ended: list) -> None:
    """Guards against one invalid row that makes the whole listing invalid.

    Ends of tasks are then not recorded, the worker counts as unresponsive, and all
    runs on it are killed.
    """
    running = _LISTING["running"] + rows
    ended_runs = _LISTING["ended_runs"] + ended
    body = _bytes_of(_LISTING | {"running": running, "ended_runs": ended_runs})
    listing = worker_bodies.decode_listing(body)
    assert listing.running[0].task == "j.0.0.1"
    assert listing.ended[0].end.task == "j.0.0.9"
    for record in [*listing.running, *(e.end for e in listing.ended)]:
        codec.encode(record)


_RUNNING_ROW = _LISTING["running"][0]
_ENDED_ROW = _LISTING["ended_runs"][0]


@pytest.mark.parametrize(
    "row",
    [
        None,
        7,
        "row",
        {},
        [],
        _RUNNING_ROW[:3],
        ["no-task", *_RUNNING_ROW[1:]],
        ["j.0.0.\u00b2", *_RUNNING_ROW[1:]],
        ["j.0.0.2", "2", "", 41, 7],
        ["j.0.0.2", True, "", 41, 7],
        ["j.0.0.2", 1 << 70, "", 41, 7],
        ["j.0.0.2", 2, None, 41, 7],
        ["j.0.0.2", 2, "", 1 << 40, 7],
        ["j.0.0.2", 2, "", 41, "7"],
        ["j.0.0.2", 2, "\ud800", 41, 7],
    ],
)
def test_an_invalid_running_row_is_skipped(row: object) -> None:
    rows = [_RUNNING_ROW, row]
    listing = worker_bodies.decode_listing(
        _bytes_of(_LISTING | {"running": rows})
    )
    assert [sample.task for sample in listing.running] == ["j.0.0.1"]
    assert [end.number for end in listing.ended] == [58]
    assert listing.unread_running_count == 1
    assert listing.unread_ended_count == 0


@pytest.mark.parametrize(
    "row",
    [
        None,
        [],
        _ENDED_ROW[:4],
        [59, "no-task", 1, "done", ""],
        [59, "j.0.0.2", 1, "vanished", ""],
        [59, "j.0.0.2", 1, ["done"], ""],
        [59, "j.0.0.2", 1, "done", 3],
        ["59", "j.0.0.2", 1, "done", ""],
        [0, "j.0.0.2", 1, "done", ""],
    ],
)
def test_an_invalid_ended_row_is_skipped(row: object) -> None:
    rows = [row, _ENDED_ROW]
    listing = worker_bodies.decode_listing(
        _bytes_of(_LISTING | {"ended_runs": rows})
    )
    assert [end.number for end in listing.ended] == [58]
    assert listing.unread_ended_count == 1


def test_ends_after_an_invalid_row_do_not_count_as_read() -> None:
    """Guards against the acknowledgement of an end that was not read."""
    rows = [_ENDED_ROW, None, [60, *_ENDED_ROW[1:]]]
    for end, number in ((1, 58), (2, 58), (3, 58)):
        listing = worker_bodies.decode_listing(
            _bytes_of(_LISTING | {"ended_runs": rows[:end]})
        )
        assert listing.read_end_number == number
    listing = worker_bodies.decode_listing(
        _bytes_of(_LISTING | {"ended_runs": rows[1:]})
    )
    assert listing.read_end_number == 0


@pytest.mark.parametrize(
    "change",
    [
        {"clock_ms": None},
        {"clock_ms": 1 << 70},
        {"running": None},
        {"ended_runs": "rows"},
    ],
)
def test_an_invalid_listing_is_a_platform_error(
    change: dict,
) -> None:
    with pytest.raises(errors.PlatformError):
        worker_bodies.decode_listing(_bytes_of(_LISTING | change))


def test_an_unpaired_surrogate_is_refused() -> None:
    with pytest.raises(errors.BadInputError, match="spec"):
        job_bodies.decode(_bytes_of(_JOB | {"spec": "\ud800"}), job_id="j")


def test_an_infinite_number_is_refused() -> None:
    body = _bytes_of(_HEARTBEAT | {"cold_remaining_ms": float("inf")})
    with pytest.raises(errors.BadInputError, match="cold_remaining_ms"):
        worker_bodies.decode_announcement(body, worker_id="i-1")
