"""Plans predict the effects of their confirmation, and guard against mistakes."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from marigoldsill import errors
from marigoldsill.coordination.placement import placement_simulator
from marigoldsill.coordination.placement import queue_simulation
from marigoldsill.coordination.plans import guard_context
from marigoldsill.coordination.plans import planning
from marigoldsill.protocol import intent_file
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import tables as tables_module
from tests.state import states

_VERB = ttypes.EffectVerb
_DRAIN = ttypes.ChangeVerb.DRAIN
_REMOVE = ttypes.ChangeVerb.REMOVE
_TIGHT = ttypes.Resources(cpu_millicores=4000, memory_bytes=4 << 30)


def _plan(
    tables: tables_module.Tables,
    *changes: ttypes.Change,
    **observed: object,
) -> ttypes.Plan:
    observations = guard_context.Observations(**observed)
    planner = planning.Planner(
        tables=tables, observations=observations, operator_name="desk-1"
    )
    return planner.make_plan(list(changes))


def _effects(plan: ttypes.Plan) -> dict[str, str]:
    return {e.subject: _VERB(e.verb).name for e in plan.effects}


def _guards(plan: ttypes.Plan) -> list[str]:
    return sorted({guard.name for guard in plan.guards})


def _place(tables: tables_module.Tables) -> None:
    grants = queue_simulation.assign_queued(tables, limit=1000)
    states.apply(tables, assign_runs=ttypes.AssignRuns(assignments=grants))


_SIZES = st.sampled_from([500, 1000, 3000, 9000])
_RECORD_NAMES = st.sampled_from(["a", "b", "c"])


@st.composite
def _put_changes(
    draw: st.DrawFn, tables: tables_module.Tables
) -> ttypes.Change:
    name = draw(_RECORD_NAMES)
    resources = ttypes.Resources(cpu_millicores=draw(_SIZES))
    build = {
        "a": lambda: states.service(
            "a", instances=draw(st.integers(1, 4)), resources=resources
        ),
        "b": lambda: states.batch_job("b", resources=resources),
        "c": lambda: states.watcher("c", resources=resources),
    }[name]
    existing = tables.services | tables.batch_jobs | tables.watchers
    return states.declare(build(), replace=name in existing)


@st.composite
def _changes(draw: st.DrawFn, tables: tables_module.Tables) -> ttypes.Change:
    if draw(st.booleans()):
        return draw(_put_changes(tables))
    kinds = {"a": "service", "b": "batch_job", "c": "watcher"}
    subjects = [
        f"{kinds[name]}/{name}"
        for name in tables.services | tables.batch_jobs | tables.watchers
    ]
    verb, subject = draw(
        st.sampled_from(
            [(_DRAIN, f"worker/{name}") for name in tables.workers]
            + [(_REMOVE, subject) for subject in subjects]
        )
    )
    return states.change(verb, subject)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(data=st.data(), workers_count=st.integers(1, 3))
def test_a_confirmed_plan_does_what_it_said(
    data: st.DataObject, workers_count: int
) -> None:
    tables = tables_module.Tables()
    for index in range(workers_count):
        worker = states.worker(f"w{index}", capacity=_TIGHT)
        states.apply(tables, put_worker=ttypes.PutWorker(worker=worker))
    for _ in range(data.draw(st.integers(0, 4))):
        states.apply_changes(tables, data.draw(_changes(tables)))
        _place(tables)
    plan = _plan(tables, data.draw(_changes(tables)))
    before = dict(tables.tasks)

    plan_id = states.plan(tables, *plan.changes, effects=plan.effects)
    assert states.confirm(tables, plan_id).outcome == ttypes.Outcome.OK
    ended = [e.subject for e in plan.effects if e.verb in (2, 3)]
    states.report(tables, ttypes.RunEventKind.STOPPED, *ended)
    _place(tables)

    for effect in plan.effects:
        task = tables.tasks.get(effect.subject)
        match effect.verb:
            case _VERB.START:
                assert task.worker == effect.worker
                assert task.epoch > 0
            case _VERB.STOP:
                assert task is None or not tables_module.occupies_worker(task)
            case _VERB.MOVE:
                where = f"would go to {task.worker}"
                if task.state == ttypes.TaskState.QUEUED:
                    where = "it waits"
                assert where in effect.reason
            case _ if "runs on as it was started" in effect.reason:
                assert task == before[effect.subject]
            case _VERB.EVICT:
                assert task.worker == effect.worker
                assert task.kind == ttypes.Kind.BATCH_JOB
            case _:
                assert task.state == ttypes.TaskState.QUEUED
    quiet = tables.tasks.keys() - _effects(plan).keys()
    for name in quiet & before.keys():
        assert tables.tasks[name].epoch == before[name].epoch, name


@settings(max_examples=50, deadline=None, derandomize=True)
@given(data=st.data())
def test_replayed_commands_have_no_effect(data: st.DataObject) -> None:
    tables = states.with_workers("w0", "w1")
    for number in range(data.draw(st.integers(1, 5))):
        plan = _plan(tables, data.draw(_changes(tables)))
        plan_id = states.plan(tables, *plan.changes, effects=plan.effects)
        first = states.confirm(tables, plan_id, command_id=f"c{number}")
        snapshot = tables.to_bytes()
        again = states.confirm(tables, plan_id, command_id=f"c{number}")
        assert again == first
        assert tables.to_bytes() == snapshot
        other = states.confirm(tables, plan_id)
        assert other.outcome == ttypes.Outcome.CONFLICT
        assert tables.state_version == first.state_version


def test_effects_include_runs_evicted_for_a_more_urgent_task() -> None:
    tables = tables_module.Tables()
    worker = states.worker("w1", capacity=_TIGHT)
    states.apply(tables, put_worker=ttypes.PutWorker(worker=worker))
    states.apply_changes(
        tables, states.declare(states.batch_job("all", resources=_TIGHT))
    )
    _place(tables)
    plan = _plan(tables, states.declare(states.service("lookup")))
    assert _effects(plan) == {"lookup/0": "WAIT", "all/0": "EVICT"}


def _predict_each_separately(tables: tables_module.Tables) -> dict[str, object]:
    """Returns the predictions if tasks of one class do not share a search."""
    simulator = placement_simulator.PlacementSimulator(tables)
    return {
        name: simulator.add_task(tables.owner_record(tables.tasks[name]))
        for name in queue_simulation.predict_placements(tables)
    }


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    runs=st.lists(st.tuples(_SIZES, st.integers(0, 9)), max_size=12),
    waiting=st.lists(st.tuples(_SIZES, st.integers(0, 9)), max_size=12),
)
def test_shared_searches_predict_the_same_placements(
    runs: list[tuple[int, int]], waiting: list[tuple[int, int]]
) -> None:
    tables = tables_module.Tables()
    for name in ("w0", "w1"):
        worker = states.worker(name, capacity=_TIGHT)
        states.apply(tables, put_worker=ttypes.PutWorker(worker=worker))
    for prefix, jobs in (("r", runs), ("q", waiting)):
        for number, (size, urgency) in enumerate(jobs):
            job = states.batch_job(
                f"{prefix}{number}",
                urgency=urgency,
                resources=ttypes.Resources(cpu_millicores=size),
            )
            states.apply_changes(tables, states.declare(job))
        if prefix == "r":
            _place(tables)
    assert queue_simulation.predict_placements(
        tables
    ) == _predict_each_separately(tables)


def test_number_of_searches_for_a_long_queue_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(queue_simulation, "SEARCHES_LIMIT", 3)
    tables = tables_module.Tables()
    worker = states.worker("w1", capacity=_TIGHT)
    states.apply(tables, put_worker=ttypes.PutWorker(worker=worker))
    states.apply_changes(
        tables, states.declare(states.batch_job("all", resources=_TIGHT))
    )
    _place(tables)
    for number in range(10):
        size = ttypes.Resources(cpu_millicores=1000 + number)
        job = states.batch_job(f"job{number}", resources=size)
        states.apply_changes(tables, states.declare(job))
    reasons = [
        o.reason for o in queue_simulation.predict_placements(tables).values()
    ]
    assert len([r for r in reasons if "too many tasks wait" in r]) == 7


def test_new_size_of_a_running_task_waits_for_its_next_start() -> None:
    tables = _running(states.service("lookup"))
    larger = states.service("lookup", resources=_TIGHT)
    plan = _plan(tables, states.declare(larger, replace=True))
    assert _effects(plan) == {"lookup/0": "WAIT"}
    assert "next start" in plan.effects[0].reason


def test_effects_include_starting_waiting_and_impossible_tasks() -> None:
    tables = tables_module.Tables()
    states.apply(
        tables,
        put_worker=ttypes.PutWorker(
            worker=states.worker("w1", capacity=_TIGHT)
        ),
    )
    huge = ttypes.Resources(cpu_millicores=64_000)
    plan = _plan(
        tables,
        states.declare(states.service("lookup", instances=5)),
        states.declare(states.batch_job("huge", resources=huge)),
    )
    effects = _effects(plan)
    assert effects["lookup/3"] == "START"
    assert effects["lookup/4"] == "WAIT"
    assert effects["huge/0"] == "NEVER_RUNS"
    assert _guards(plan) == ["unit-slip"]


def _running(
    *records: object, workers: tuple[str, ...] = ("w1", "w2")
) -> tables_module.Tables:
    tables = states.with_workers(*workers)
    states.apply_changes(
        tables, *(states.declare(record) for record in records)
    )
    states.run_all(tables, on="w1")
    return tables


def _plan_memory_change(declared: int, new: int) -> ttypes.Plan:
    tables = _running(
        states.batch_job(
            "rebuild", resources=ttypes.Resources(memory_bytes=declared)
        )
    )
    job = states.batch_job(
        "rebuild", resources=ttypes.Resources(memory_bytes=new)
    )
    return _plan(tables, states.declare(job, replace=True))


@pytest.mark.parametrize(
    ("declared", "new", "expected"),
    [
        (4 << 20, 4 << 30, ["unit-slip"]),
        (4 << 30, 4 << 20, ["unit-slip"]),
        (4 << 30, 8 << 30, []),
        (100 << 30, 200 << 30, ["unit-slip"]),
    ],
)
def test_size_far_from_the_declared_one_hits_a_guard(
    declared: int, new: int, expected: list[str]
) -> None:
    assert _guards(_plan_memory_change(declared, new)) == expected


def test_size_far_from_the_observed_one_hits_a_guard() -> None:
    tables = states.with_workers("w1")
    peak_usage = {"rebuild": ttypes.Resources(memory_bytes=20 << 30)}
    plan = _plan(
        tables,
        states.declare(states.batch_job("rebuild")),
        peak_usage_by_owner=peak_usage,
    )
    assert _guards(plan) == ["unit-slip"]


@pytest.mark.parametrize(
    ("instances", "called", "expected"),
    [
        (0, {"lookup"}, ["live-callers"]),
        (1, {"lookup"}, ["live-callers"]),
        (3, {"lookup"}, []),
        (0, {"desk"}, []),
    ],
)
def test_scaling_down_a_service_with_callers_hits_a_guard(
    instances: int, called: set[str], expected: list[str]
) -> None:
    other_jobs = [states.batch_job(f"job{i}") for i in range(30)]
    tables = _running(states.service("lookup", instances=4), *other_jobs)
    smaller = states.service("lookup", instances=instances)
    change = states.change(_REMOVE, "service/lookup")
    if instances:
        change = states.declare(smaller, replace=True)
    assert _guards(_plan(tables, change, called_services=called)) == expected


def test_stopping_a_large_share_of_the_running_tasks_hits_a_guard() -> None:
    jobs = [states.batch_job(f"job{i}") for i in range(10)]
    tables = _running(*jobs)
    cancels = [
        states.change(ttypes.ChangeVerb.CANCEL, f"batch_job/job{i}")
        for i in range(3)
    ]
    assert _guards(_plan(tables, *cancels)) == ["eviction-share"]
    assert _guards(_plan(tables, *cancels[:2])) == []


def test_drain_that_leaves_a_watcher_without_worker_hits_a_guard() -> None:
    drain = states.change(_DRAIN, "worker/w1")
    one_worker = _running(states.watcher("parish"), workers=("w1",))
    two_workers = _running(states.watcher("parish"))
    assert _guards(_plan(one_worker, drain)) == ["watcher-nowhere"]
    assert _guards(_plan(two_workers, drain)) == []


def test_drain_of_the_last_worker_of_a_service_hits_a_guard() -> None:
    tables = _running(states.service("lookup"))
    plan = _plan(tables, states.change(_DRAIN, "worker/w1"))
    assert _guards(plan) == ["last-worker"]
    assert _effects(plan) == {"lookup/0": "MOVE"}


@pytest.mark.parametrize(
    ("observed_ratio", "expected"),
    [(1, []), (59, []), (61, ["deadline-missed"])],
)
def test_deadline_that_run_times_rule_out_hits_a_guard(
    observed_ratio: int, expected: list[str]
) -> None:
    job = states.batch_job(
        "rebuild", run_time_ms=60_000, deadline_unix_ms=3_600_000
    )
    tables = states.with_workers("w1")
    plan = _plan(
        tables,
        states.declare(job),
        predict_run_time_ms=lambda _, declared_ms: declared_ms * observed_ratio,
    )
    assert _guards(plan) == expected


def _apply_changes(
    tables: tables_module.Tables, cores: int
) -> list[ttypes.Change]:
    text = f'[[batch_job]]\nname = "rebuild"\ncores = {cores}\n'
    return planning.changes_for_apply(tables, intent_file.parse(text.encode()))


def test_finished_job_is_not_run_again_by_applying_its_file() -> None:
    tables = states.with_workers("w1")
    states.apply_changes(tables, *_apply_changes(tables, 1))
    states.run_all(tables, on="w1")
    states.report(tables, ttypes.RunEventKind.COMPLETED, "rebuild/0")

    assert _apply_changes(tables, 1) == []
    with pytest.raises(errors.ConflictError, match="new name"):
        _apply_changes(tables, 2)


def test_cancelled_job_runs_again_once_its_declaration_changes() -> None:
    tables = states.with_workers("w1")
    states.apply_changes(tables, *_apply_changes(tables, 1))
    cancel = states.change(ttypes.ChangeVerb.CANCEL, "batch_job/rebuild")
    states.apply_changes(tables, cancel)

    assert _apply_changes(tables, 1) == []
    plan = _plan(tables, *_apply_changes(tables, 2))
    assert _effects(plan) == {"rebuild/0": "START"}
