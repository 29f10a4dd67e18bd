"""Tests of the log lines about losses of workers."""

from collections.abc import Iterator

import pytest

from marigoldsill.coordination.jobs import job_event_logger
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import logs
from tests.coordination.jobs import builders


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> Iterator[dict[str, dict]]:
    found: dict[str, dict] = {}
    monkeypatch.setattr(
        logs,
        "event",
        lambda name, level="INFO", **fields: found.update({name: fields}),
    )
    return found


@pytest.mark.parametrize(
    ("kind", "decided_term", "event", "recorded_by"),
    [
        (ttypes.RunEndKind.LOST, 0, "crash_possible", "agent"),
        (ttypes.RunEndKind.LOST, 1, "crash_possible", "leader"),
        (ttypes.RunEndKind.CRASHED, 0, "crash_suspected", "agent"),
    ],
)
def test_loss_is_logged_with_its_worker_and_who_recorded_it(
    events: dict,
    kind: ttypes.RunEndKind,
    event: str,
    decided_term: int,
    recorded_by: str,
) -> None:
    state = builders.State()
    state.submit(builders.job())
    state.grant(builders.grant(builders.task_name()))
    end = builders.run_end(builders.task_name(), kind)
    end.suspects_count = kind == ttypes.RunEndKind.CRASHED
    command = ttypes.Command(
        proposed_unix_ms=builders.NOW_UNIX_MS + 20,
        record_run_ends=ttypes.RecordRunEnds(
            ends=[end], decided_term=decided_term
        ),
    )
    state.apply(
        at_unix_ms=command.proposed_unix_ms,
        record_run_ends=command.record_run_ends,
    )
    job_event_logger.JobEventLogger().log_command(state.tables, command)
    fields = events[event]
    assert fields["agent"] == "a1"
    assert fields["worker_id"] == "a1-incarnation1"
    assert fields["since_grant_ms"] == 20
    assert fields["recorded_by"] == recorded_by
    crashed = kind == ttypes.RunEndKind.CRASHED
    assert events["run_ended"]["worker_ended"] == crashed
    assert events["run_ended"]["has_begun"] is False
