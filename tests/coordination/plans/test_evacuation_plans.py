"""Plans that evacuate a data centre, their effects and guard rails."""

import pytest

from marigoldsill import errors
from marigoldsill.coordination.plans import guard_context
from marigoldsill.coordination.plans import planning
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module
from tests.state import states


def _plan(tables: tables_module.Tables, change: ttypes.Change) -> ttypes.Plan:
    planner = planning.Planner(
        tables=tables,
        observations=guard_context.Observations(),
        operator_name="desk-1",
    )
    return planner.make_plan([change])


def _effects(plan: ttypes.Plan) -> dict[str, str]:
    return {e.subject: ttypes.EffectVerb(e.verb).name for e in plan.effects}


def _guards(plan: ttypes.Plan) -> list[str]:
    return sorted({guard.name for guard in plan.guards})


def _running_service() -> tables_module.Tables:
    """A service on worker w1 of data centre dc1, where w2 is too."""
    tables = states.with_workers("w1", "w2")
    states.apply_changes(tables, states.declare(states.service("lookup")))
    states.run_all(tables, on="w1")
    return tables


def _two_data_centres(capacity: ttypes.Resources) -> tables_module.Tables:
    """A service on worker w1 of data centre dc1; worker w2 is in dc2."""
    tables = _running_service()
    elsewhere = states.worker("w2", capacity=capacity)
    elsewhere.data_centre = "dc2"
    states.apply(tables, put_worker=ttypes.PutWorker(worker=elsewhere))
    return tables


def _evacuation(data_centre: str) -> ttypes.Change:
    return states.change(
        ttypes.ChangeVerb.EVACUATE, f"data_centre/{data_centre}"
    )


def test_evacuation_moves_what_runs_in_the_data_centre() -> None:
    plan = _plan(_two_data_centres(states.LARGE), _evacuation("dc1"))
    assert _effects(plan) == {"lookup/0": "MOVE"}
    assert "w2" in plan.effects[0].reason
    assert _guards(plan) == ["last-worker"]


def test_evacuation_of_the_only_data_centre_hits_a_guard() -> None:
    tables = _running_service()
    assert _guards(_plan(tables, _evacuation("dc1"))) == [
        "last-data-centre",
        "last-worker",
        "service-capacity",
    ]


def test_evacuation_without_capacity_elsewhere_hits_a_guard() -> None:
    too_small = ttypes.Resources(cpu_millicores=10, memory_bytes=1)
    plan = _plan(_two_data_centres(too_small), _evacuation("dc1"))
    assert "service-capacity" in _guards(plan)


@pytest.mark.parametrize("evacuate", [True, False])
def test_evacuation_of_an_unknown_data_centre_is_not_planned(
    evacuate: bool,
) -> None:
    with pytest.raises(errors.NotFoundError, match="'dc9'"):
        planning.changes_for_evacuation(
            states.with_workers("w1"), "dc9", evacuate=evacuate
        )


def test_evacuation_that_is_in_force_changes_nothing() -> None:
    tables = states.with_workers("w1")
    states.apply_changes(tables, _evacuation("dc1"))
    assert not planning.changes_for_evacuation(tables, "dc1", evacuate=True)
    [end] = planning.changes_for_evacuation(tables, "dc1", evacuate=False)
    states.apply_changes(tables, end)
    assert not planning.changes_for_evacuation(tables, "dc1", evacuate=False)
