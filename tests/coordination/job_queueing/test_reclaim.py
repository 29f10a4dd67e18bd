"""Tests which runs are evicted for shares below their guarantee."""

from collections.abc import Iterable

from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.coordination.job_queueing import claims as claims_module
from marigoldsill.coordination.job_queueing import reclaim as reclaim_module
from marigoldsill.coordination.job_queueing import reclaim_fleet
from marigoldsill.coordination.job_queueing import shares as shares_module
from marigoldsill.protocol.generated import ttypes
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders

_REPORTS = shares_module.ShareKey(builders.POOL, "reports")
_OTHER = shares_module.ShareKey(builders.POOL, "other")
_NO_SHARE = shares_module.ShareKey(builders.POOL, shares_module.UNGUARANTEED)
_SETTINGS = shares_module.ShareSettings(
    ratios={"reports": 0.5, "other": 0.25}, reclaim_s=2
)


def _step(cores: float = 1, **fields: object) -> ttypes.Step:
    return builders.step(resources=leader_harness.resources(cores, 0), **fields)


def _run(
    name: str,
    agent: str = "a1",
    *,
    step: ttypes.Step | None = None,
    share: shares_module.ShareKey = _NO_SHARE,
    run: int = 1,
    is_ending: bool = False,
    lost_core_ms: float = 0.0,
) -> reclaim_fleet.RunningTask:
    return reclaim_fleet.RunningTask(
        key=(name, run),
        agent=agent,
        step=step or _step(),
        share=share,
        is_ending=is_ending,
        lost_core_ms=lost_core_ms,
    )


class _Fleet:
    """Workers of four cores each, with some runs."""

    def __init__(
        self, *runs: reclaim_fleet.RunningTask, workers_count: int = 1
    ):
        self.claims = claims_module.Claims(_SETTINGS)
        self.runs = {f"a{n}": [] for n in range(1, workers_count + 1)}
        for run in runs:
            self.runs[run.agent].append(run)
        self.ending: dict[shares_module.ShareKey, ttypes.Resources] = {}
        self.accepted = set(self.runs)
        self.draining: set[str] = set()
        self.free_memory_bytes = 1 << 30

    def choose(
        self, *steps: ttypes.Step, tasks_count: int = 1
    ) -> list[reclaim_module.Reclaim]:
        due_steps = [
            reclaim_fleet.DueStep(
                _waiting(step, number, tasks_count), _REPORTS, waited_s=2.0
            )
            for number, step in enumerate(steps)
        ]
        return reclaim_module.choose_reclaims(
            due_steps,
            reclaim_fleet.Fleet(
                workers=[self._free(agent) for agent in self.runs],
                runs=self.runs,
                statuses=self._statuses(),
                ending=self.ending,
                claims=self.claims,
                accepts=lambda waiting, free: free.agent in self.accepted,
                now_s=100.0,
            ),
        )

    def _free(self, agent: str) -> free_capacity.FreeCapacity:
        steps = [run.step for run in self.runs[agent]]
        used = sum(step.resources.cpu_millicores for step in steps)
        reserved = sum(
            step.resources.cpu_millicores
            for step in steps
            if not step.best_effort
        )
        worker = ttypes.PoolWorker(
            worker_id=agent,
            pool=builders.POOL,
            labels=[],
            capacity=leader_harness.resources(4),
            draining=agent in self.draining,
        )
        return free_capacity.FreeCapacity(
            agent=agent,
            worker=worker,
            cpu_millicores=4_000 - reserved,
            memory_bytes=self.free_memory_bytes,
            accelerators_count=0,
            latency_critical=[],
            idle_millicores=4_000 - used,
        )

    def _statuses(
        self,
    ) -> dict[shares_module.ShareKey, shares_module.ShareStatus]:
        capacity = leader_harness.resources(4 * len(self.runs))
        statuses = {
            key: shares_module.ShareStatus(
                guaranteed_ratio=_SETTINGS.ratio_of(key),
                allocated=ttypes.Resources(),
                capacity=capacity,
            )
            for key in (_REPORTS, _OTHER, _NO_SHARE)
        }
        for runs in self.runs.values():
            for run in runs:
                before = statuses[run.share]
                statuses[run.share] = before.add(run.step.resources)
        return statuses


def _waiting(
    step: ttypes.Step, number: int, tasks_count: int
) -> backlog_module.WaitingStep:
    return backlog_module.WaitingStep(
        key=(f"r{number}", 0, 0),
        step=step,
        queue=ttypes.Queue(name="reports", pool=builders.POOL),
        waiting_indexes=list(range(tasks_count)),
        tasks=[],
        record=ttypes.JobRecord(),
        job=ttypes.Job(),
        occurrence=ttypes.Occurrence(),
    )


def _names(reclaims: Iterable[reclaim_module.Reclaim]) -> list[str]:
    return [run.key[0] for reclaim in reclaims for run in reclaim.evicted]


def _full(**fields) -> list[reclaim_fleet.RunningTask]:
    return [_run(f"f{number}", **fields) for number in range(4)]


def test_one_run_is_evicted_for_one_task() -> None:
    (reclaim,) = _Fleet(*_full()).choose(_step())
    assert len(reclaim.evicted) == 1
    assert reclaim.claim.agent == "a1"
    assert reclaim.claim.step_key == ("r0", 0, 0)


def test_as_many_runs_are_evicted_as_a_task_needs() -> None:
    assert len(_names(_Fleet(*_full()).choose(_step(2)))) == 2


def test_runs_that_do_not_help_are_kept() -> None:
    """The task needs processor time that best-effort runs do not reserve."""
    fleet = _Fleet(
        _run("be", step=_step(2, best_effort=True, checkpointing=True)),
        _run("batch", step=_step(4)),
    )
    assert _names(fleet.choose(_step(2))) == ["batch"]


def test_no_reserved_processor_time_is_reclaimed_for_best_effort_tasks() -> (
    None
):
    """Guards against evictions for tasks that gain nothing by them.

    A best-effort task reserves no processor time, so the next task of the borrower
    would reserve the time of the evicted run again.
    """
    assert _names(_Fleet(*_full()).choose(_step(best_effort=True))) == []


def test_memory_is_reclaimed_for_best_effort_tasks() -> None:
    """A best-effort task reserves its memory, so no other task takes it back."""
    resources = leader_harness.resources(1, 1)
    fleet = _Fleet(_run("f", step=builders.step(resources=resources)))
    fleet.free_memory_bytes = 0
    step = builders.step(resources=resources, best_effort=True)
    assert _names(fleet.choose(step)) == ["f"]


def test_the_cheapest_runs_are_evicted_first() -> None:
    runs = [
        _run("batch"),
        _run("be", step=_step(best_effort=True), lost_core_ms=5.0),
        _run("be-new", step=_step(best_effort=True), lost_core_ms=1.0),
        _run("saved", step=_step(best_effort=True, checkpointing=True)),
    ]
    fleet = _Fleet(*runs)
    step = _step(best_effort=True)
    assert _names(fleet.choose(step)) == ["saved"]
    del fleet.runs["a1"][3]
    fleet.runs["a1"].append(_run("long", step=_step(long_running=True)))
    assert _names(fleet.choose(step)) == ["be-new"]


def test_the_worker_with_the_cheapest_runs_is_chosen() -> None:
    saved = _step(4, best_effort=True, checkpointing=True)
    unsaved = _step(4, best_effort=True)
    fleet = _Fleet(
        _run("unsaved", "a1", step=unsaved),
        _run("saved", "a2", step=saved),
        workers_count=2,
    )
    assert _names(fleet.choose(_step(best_effort=True))) == ["saved"]


def test_no_run_is_evicted_twice() -> None:
    names = _names(_Fleet(*_full()).choose(_step(), tasks_count=2))
    assert len(set(names)) == len(names) == 2


def test_runs_that_are_ending_are_awaited() -> None:
    fleet = _Fleet(_run("ending", is_ending=True), *_full()[:3])
    (reclaim,) = fleet.choose(_step())
    assert reclaim.evicted == []


def test_a_claim_counts_until_it_ends() -> None:
    fleet = _Fleet(*_full())
    first = fleet.choose(_step())
    fleet.claims.begin([r.claim for r in first], now_s=100.0)
    assert fleet.choose(_step()) == []


def test_no_more_is_reclaimed_than_the_guarantee() -> None:
    own = _run("r", share=_REPORTS)
    fleet = _Fleet(own, *_full()[:3])
    assert len(_names(fleet.choose(_step(), tasks_count=10))) == 1


def test_no_share_is_brought_below_its_guarantee() -> None:
    runs = [_run(f"o{number}", share=_OTHER) for number in range(2)]
    fleet = _Fleet(*runs, _run("lc", step=_step(2, long_running=True)))
    assert len(_names(fleet.choose(_step(), tasks_count=2))) == 1
    # Its runs on other workers have to stop.
    fleet.ending[_OTHER] = leader_harness.resources(1)
    assert fleet.choose(_step()) == []


def test_some_runs_are_never_evicted() -> None:
    for run in (
        _run("lc", step=_step(4, long_running=True)),
        _run("gang", step=_step(4, gang=True)),
        _run("own", step=_step(4), share=_REPORTS),
        _run("third", step=_step(4), run=3),
    ):
        assert _Fleet(run).choose(_step()) == []
    saved = _run("third", step=_step(4, checkpointing=True), run=3)
    assert _names(_Fleet(saved).choose(_step())) == ["third"]


def test_workers_that_can_not_run_the_task_are_left_out() -> None:
    fleet = _Fleet(*_full())
    assert fleet.choose(_step(required_label="missing")) == []
    assert fleet.choose(_step(5)) == []
    fleet.accepted.clear()
    assert fleet.choose(_step()) == []
    fleet.accepted.add("a1")
    fleet.draining.add("a1")
    assert fleet.choose(_step()) == []


def test_a_task_that_fits_already_costs_no_run() -> None:
    """Something else than capacity keeps the task from the free worker."""
    fleet = _Fleet(*_full()[:2])
    assert fleet.choose(_step()) == []


def test_evictions_of_one_round_are_bounded() -> None:
    runs = [
        _run(f"f{agent}-{number}", f"a{agent}")
        for agent in range(1, 21)
        for number in range(4)
    ]
    fleet = _Fleet(*runs, workers_count=20)
    assert len(_names(fleet.choose(_step(), tasks_count=40))) == 8


def test_a_task_that_fits_nowhere_does_not_hide_the_next_one() -> None:
    fleet = _Fleet(*_full())
    (reclaim,) = fleet.choose(_step(5), _step(5), _step())
    assert reclaim.claim.step_key == ("r2", 0, 0)
