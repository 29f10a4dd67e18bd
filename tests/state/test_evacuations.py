"""Tests of evacuations of data centres in the replicated state."""

import pytest

from marigoldsill.coordination.configuration import configuration
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import state_machine
from marigoldsill.state import tables as tables_module
from tests.state import states

_DATA_CENTRE = "dc1"


def _set(
    tables: tables_module.Tables,
    *,
    active: bool,
    data_centre: str = _DATA_CENTRE,
    command_id: str = "",
) -> ttypes.CommandResult:
    return states.apply(
        tables,
        command_id=command_id,
        set_evacuation=ttypes.SetEvacuation(
            data_centre=data_centre, active=active, operator_name="desk"
        ),
    )


def test_workers_of_an_evacuated_data_centre_drain() -> None:
    tables = states.with_workers("w1", "w2")
    _set(tables, active=True)
    assert {w.state for w in tables.workers.values()} == {
        ttypes.WorkerState.DRAINING
    }
    _set(tables, active=False)
    assert {w.state for w in tables.workers.values()} == {
        ttypes.WorkerState.ACTIVE
    }


def test_a_worker_that_joins_during_an_evacuation_drains() -> None:
    tables = states.with_workers("w1")
    _set(tables, active=True)
    states.apply(
        tables, put_worker=ttypes.PutWorker(worker=states.worker("w2"))
    )
    assert tables.workers["w2"].state == ttypes.WorkerState.DRAINING


def test_a_data_centre_without_known_workers_can_be_evacuated() -> None:
    tables = tables_module.Tables()
    assert _set(tables, active=True).outcome == ttypes.Outcome.OK
    states.apply(
        tables, put_worker=ttypes.PutWorker(worker=states.worker("w1"))
    )
    assert tables.workers["w1"].state == ttypes.WorkerState.DRAINING


def test_a_drain_of_one_worker_outlasts_the_evacuation() -> None:
    tables = states.with_workers("w1")
    change = ttypes.Change(verb=ttypes.ChangeVerb.DRAIN, subject="worker/w1")
    states.apply_changes(tables, change)
    _set(tables, active=True)
    _set(tables, active=False)
    assert tables.workers["w1"].state == ttypes.WorkerState.DRAINING


def test_repeated_orders_change_nothing() -> None:
    tables = states.with_workers("w1")
    _set(tables, active=True)
    version = tables.state_version
    assert _set(tables, active=True).outcome == ttypes.Outcome.ALREADY
    assert tables.state_version == version


def test_an_order_that_is_applied_again_does_not_revert_a_later_one() -> None:
    """Guards against a data centre that is left evacuated by a late retry.

    A leader may commit an order whose answer was lost. The entry sends it again, and
    the second copy may reach the log after the operator has ended the evacuation.
    """
    tables = tables_module.Tables()
    _set(tables, active=True, command_id="order-1")
    _set(tables, active=False, command_id="order-2")
    _set(tables, active=True, command_id="order-1")
    assert not tables.evacuated_data_centres


def test_evacuations_are_part_of_snapshots() -> None:
    tables = states.with_workers("w1")
    _set(tables, active=True)
    _set(tables, active=True, data_centre="dc2")
    restored = tables_module.Tables.from_bytes(tables.to_bytes())
    assert restored.evacuated_data_centres == {"dc1", "dc2"}
    assert restored.workers["w1"].state == ttypes.WorkerState.DRAINING
    assert restored.to_bytes() == tables.to_bytes()


def test_a_snapshot_without_evacuations_is_read() -> None:
    snapshot = codec.decode(
        ttypes.TablesSnapshot(), tables_module.Tables().to_bytes()
    )
    snapshot.evacuated_data_centres = None
    restored = tables_module.Tables.from_bytes(codec.encode(snapshot))
    assert restored.evacuated_data_centres == set()


def test_an_order_leaves_a_line_in_the_audit_trail() -> None:
    tables = tables_module.Tables()
    _set(tables, active=True)
    assert [(r.operator_name, r.subjects) for r in tables.audit] == [
        ("desk", ["data_centre/dc1"])
    ]


@pytest.mark.parametrize("joins_late", [False, True])
def test_entries_and_agents_learn_of_an_evacuation(joins_late: bool) -> None:
    """Guards against requests that are sent to endpoints of an evacuated data centre.

    Subscribers get the workers whose version is newer than theirs. The evacuation
    names no worker, so each of them needs a new version, as do those that join later.
    """
    tables = states.with_workers(*(() if joins_late else ("w1",)))
    before = tables.config_version, tables.config_checksum
    _set(tables, active=True)
    if joins_late:
        states.apply(
            tables, put_worker=ttypes.PutWorker(worker=states.worker("w1"))
        )
    delta = configuration.delta_since(tables, *before)
    assert delta.draining_workers == ["w1"]
    version, checksum = tables.config_version, tables.config_checksum
    _set(tables, active=False)
    delta = configuration.delta_since(tables, version, checksum)
    assert "w1" in {item.subject.partition("/")[2] for item in delta.items}
    assert delta.draining_workers == []


def test_a_plan_and_an_order_change_the_same_state() -> None:
    tables = states.with_workers("w1")
    change = ttypes.Change(
        verb=ttypes.ChangeVerb.EVACUATE, subject="data_centre/dc1"
    )
    states.apply_changes(tables, change)
    assert _set(tables, active=True).outcome == ttypes.Outcome.ALREADY
    _set(tables, active=False)
    assert tables.workers["w1"].state == ttypes.WorkerState.ACTIVE


def test_replay_gives_the_same_tables() -> None:
    commands = [
        ttypes.Command(
            command_id=f"c{number}",
            proposed_unix_ms=number,
            set_evacuation=ttypes.SetEvacuation(
                data_centre=f"dc{number % 2}", active=number % 3 != 0
            ),
        )
        for number in range(8)
    ]
    first, second = tables_module.Tables(), tables_module.Tables()
    for command in commands:
        state_machine.apply(first, command)
    for command in [*commands, *commands]:
        state_machine.apply(second, command)
    assert first.to_bytes() == second.to_bytes()


def test_a_plan_about_a_worker_conflicts_with_an_evacuation_since() -> None:
    tables = states.with_workers("w1")
    plan_id = states.plan(
        tables, states.change(ttypes.ChangeVerb.DRAIN, "worker/w1")
    )
    _set(tables, active=True)
    result = states.confirm(tables, plan_id)
    assert result.outcome == ttypes.Outcome.CONFLICT
    assert "changed by an evacuation of its data centre" in result.message
