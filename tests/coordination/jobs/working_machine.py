"""A state machine of a cluster that works: jobs, turns, single acts and time."""

import collections
from collections.abc import Callable

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders
from tests.coordination.jobs import cluster_acts
from tests.coordination.jobs import cluster_faults
from tests.coordination.jobs import cluster_settling
from tests.coordination.jobs import model_jobs
from tests.coordination.jobs import model_worker

# Late calls are over, leases have expired and backoffs have ended by then.
_SETTLING_ROUNDS = 80
FIRST_FAILURE = "examples until the first failure"
# More jobs than these would fill the workers for good.
_OPEN_JOBS_LIMIT = 3

agents = strategies.runner().flatmap(
    lambda machine: strategies.sampled_from(machine.cluster.names)
)
positions = strategies.integers(0, 7)
rounds = strategies.integers(0, 3)
cores = strategies.integers(1, 3)
spread_limits = strategies.sampled_from([0, 0, 1, 2])
ACTS = cluster_acts.TURN


class WorkingMachine(stateful.RuleBasedStateMachine):
    """Checks each start at the workers, and that everything settles.

    Most faults end by themselves, and everything runs in turn after most steps, so that
    the system works most of the time.
    """

    AGENTS = ("a1", "a2")
    WORKER_TYPE = model_worker.ModelWorker
    # What all examples have reached.
    reached: collections.Counter[str] = collections.Counter()

    def __init__(self):
        super().__init__()
        self.cluster = cluster_faults.FaultyCluster(
            *self.AGENTS, worker_type=self.WORKER_TYPE
        )
        self._open_jobs: list[str] = []

    @classmethod
    def print_reached(cls) -> None:
        """Prints what all examples have reached, and forgets it."""
        for name, count in sorted(cls.reached.items()):
            print(f"{cls.__name__} {count:7} {name}")
        cls.reached.clear()

    def teardown(self) -> None:
        try:
            cluster_settling.settle(self.cluster, rounds_count=_SETTLING_ROUNDS)
            assert self.cluster.violations == []
            assert cluster_settling.stuck_orders(self.cluster) == []
            assert cluster_settling.unordered_runs(self.cluster) == []
        except AssertionError:
            if FIRST_FAILURE not in self.reached:
                self.reached[FIRST_FAILURE] = self.reached["examples"] + 1
                print(
                    "first failure:", self.cluster.violations or "not settled"
                )
            raise
        finally:
            self.cluster.close()
            self._count()

    @stateful.initialize()
    def start_runs(self) -> None:
        self.submit(1, 1, 0, long_running=True, work_s=0.0, rounds_count=0)
        self.submit(2, 1, 1, long_running=False, work_s=15.0, rounds_count=2)

    @stateful.rule(
        tasks_count=strategies.integers(1, 3),
        cores=cores,
        spread_limit=spread_limits,
        long_running=strategies.booleans(),
        work_s=strategies.sampled_from([1.0, 4.0, 15.0]),
        rounds_count=rounds,
    )
    def submit(
        self,
        tasks_count: int,
        cores: int,
        spread_limit: int,
        long_running: bool,
        work_s: float,
        rounds_count: int,
    ) -> None:
        step = builders.step(
            tasks_count,
            resources=model_jobs.resources_of(cores),
            spread_limit=spread_limit,
            long_running=long_running,
        )
        self.submit_step(step, work_s=work_s, rounds_count=rounds_count)

    def submit_step(
        self, step: ttypes.Step, *, work_s: float, rounds_count: int
    ) -> None:
        """Submits a job of one step, and cancels the oldest one of too many."""
        if len(self._open_jobs) >= _OPEN_JOBS_LIMIT:
            self.cluster.cancel(self._open_jobs.pop(0))
        self._open_jobs.append(self.cluster.submit(step, work_s=work_s))
        self._run(rounds_count)

    @stateful.rule(position=positions, rounds_count=rounds)
    def cancel(self, position: int, rounds_count: int) -> None:
        if self._open_jobs:
            index = position % len(self._open_jobs)
            self.cluster.cancel(self._open_jobs.pop(index))
        self._run(rounds_count)

    @stateful.rule(rounds_count=strategies.integers(1, 6))
    def run_in_turn(self, rounds_count: int) -> None:
        self._run(rounds_count)

    @stateful.rule(name=agents, act=strategies.sampled_from(ACTS))
    def act(
        self,
        name: str,
        act: Callable[[cluster_faults.FaultyCluster, str], None],
    ) -> None:
        act(self.cluster, name)

    @stateful.rule()
    def schedule(self) -> None:
        self.cluster.schedule()

    @stateful.rule(
        seconds=strategies.sampled_from([0.2, 1.0, 3.0, 9.0]),
        rounds_count=rounds,
    )
    def pass_time(self, seconds: float, rounds_count: int) -> None:
        self.cluster.pass_time(seconds)
        self._run(rounds_count)

    @stateful.rule(name=agents, position=positions, rounds_count=rounds)
    def run_late_call(
        self, name: str, position: int, rounds_count: int
    ) -> None:
        self.cluster.run_late_call(name, position)
        self._run(rounds_count)

    @stateful.rule(
        name=agents,
        position=positions,
        kind=strategies.sampled_from(
            [ttypes.RunEndKind.DONE, ttypes.RunEndKind.FAILED]
        ),
        rounds_count=rounds,
    )
    def end_run(
        self,
        name: str,
        position: int,
        kind: ttypes.RunEndKind,
        rounds_count: int,
    ) -> None:
        self.cluster.end_run(name, position, kind)
        self._run(rounds_count)

    @stateful.invariant()
    def starts_were_allowed(self) -> None:
        assert self.cluster.violations == []

    def _run(self, rounds_count: int) -> None:
        self.cluster.run_in_turn(rounds_count=rounds_count, pause_s=0.3)

    def _count(self) -> None:
        self.reached["examples"] += 1
        self.reached.update(self.cluster.counts)
        for name, count in self.cluster.counts.items():
            if count:
                hypothesis.event(name)
