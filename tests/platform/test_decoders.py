"""Whatever a body holds, decoding gives a typed message or a typed error."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from marigoldsill import errors
from marigoldsill.platform import job_bodies
from marigoldsill.platform import routing_bodies
from marigoldsill.platform import settings_file
from marigoldsill.platform import worker_bodies

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


def _like(table: dict) -> strategies.SearchStrategy[dict]:
    """Tables like a valid one, of which some fields hold anything."""

    def mutated(value: object) -> strategies.SearchStrategy[object]:
        match value:
            case dict():
                inside = strategies.fixed_dictionaries(
                    {k: mutated(v) for k, v in value.items()}
                )
            case list():
                inside = strategies.lists(
                    strategies.one_of([mutated(v) for v in value]), max_size=3
                )
            case _:
                inside = strategies.just(value)
        return strategies.one_of(inside, inside, inside, _VALUES)

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
_BEAT = {
    "service": "s",
    "zone": "z",
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


@hypothesis.given(strategies.binary(max_size=60) | _like(_JOB).map(_bytes_of))
def test_a_job_is_decoded_or_refused(body: bytes) -> None:
    try:
        job = job_bodies.decode(body, job_id="j")
    except errors.BadInputError:
        return
    assert job.steps


@hypothesis.given(_like(_ROUTING).map(_bytes_of))
def test_a_configuration_is_decoded_or_refused(body: bytes) -> None:
    try:
        routing = routing_bodies.decode(body)
    except errors.BadInputError:
        return
    assert routing.document == body


@hypothesis.given(_like(_BEAT).map(_bytes_of))
def test_a_heartbeat_is_decoded_or_refused(body: bytes) -> None:
    try:
        said = worker_bodies.decode_announcement(body, worker_id="i-1")
    except errors.BadInputError:
        return
    assert said.worker.worker_id == "i-1"


@hypothesis.given(_like(_LISTING).map(_bytes_of))
def test_a_listing_is_decoded_or_a_fault_of_the_platform(body: bytes) -> None:
    try:
        listing = worker_bodies.decode_listing(body)
    except errors.PlatformError:
        return
    assert listing.clock_ms >= 0


def test_valid_bodies_are_taken() -> None:
    assert job_bodies.decode(_bytes_of(_JOB), job_id="j").repeat_count == 2
    assert routing_bodies.decode(_bytes_of(_ROUTING)).version == 7
    worker_bodies.decode_announcement(_bytes_of(_BEAT), worker_id="i-1")
    assert worker_bodies.decode_listing(_bytes_of(_LISTING)).running


def test_a_job_of_too_many_tasks_in_all_is_refused() -> None:
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


def test_a_listed_task_whose_name_is_none_is_the_platforms_fault() -> None:
    rows = [["no-task", 1, "", 41, 7]]
    body = _bytes_of(_LISTING | {"running": rows})
    with pytest.raises(errors.PlatformError):
        worker_bodies.decode_listing(body)


def test_a_half_of_a_surrogate_pair_is_no_text() -> None:
    with pytest.raises(errors.BadInputError, match="spec"):
        job_bodies.decode(_bytes_of(_JOB | {"spec": "\ud800"}), job_id="j")


def test_a_number_without_end_is_refused() -> None:
    body = _bytes_of(_BEAT | {"cold_remaining_ms": float("inf")})
    with pytest.raises(errors.BadInputError, match="cold_remaining_ms"):
        worker_bodies.decode_announcement(body, worker_id="i-1")
