"""Random sequences of faults around a leader, its agents and their workers."""

from collections.abc import Callable
import contextlib
import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders
from tests.coordination.jobs import cluster_model

# More examples, by hand: MODEL_EXAMPLES=2000 pytest tests/coordination/jobs/test_cluster_model.py
_EXAMPLES_COUNT = int(os.environ.get("MODEL_EXAMPLES", "40"))
_STEPS_COUNT = 60
# Late calls are over, leases have expired and backoffs have ended by then.
_SETTLING_ROUNDS = 80

_agents = strategies.runner().flatmap(
    lambda machine: strategies.sampled_from(machine.cluster.names)
)
_positions = strategies.integers(0, 7)
_calls = strategies.sampled_from(["start", "stop", "renew"])
_ACTS = (
    cluster_model.Cluster.deliver_orders,
    cluster_model.Cluster.execute,
    cluster_model.Cluster.renew,
    cluster_model.Cluster.report,
)


class ClusterMachine(stateful.RuleBasedStateMachine):
    """Checks each start at the workers, and that everything settles."""

    AGENTS = ("a1", "a2")

    def __init__(self):
        super().__init__()
        self.cluster = cluster_model.Cluster(*self.AGENTS)

    def teardown(self) -> None:
        try:
            self.cluster.settle(rounds_count=_SETTLING_ROUNDS)
            assert self.cluster.violations == []
            assert self.cluster.unexecuted_orders() == []
            assert self.cluster.unordered_runs() == []
        finally:
            self.cluster.close()

    @stateful.initialize()
    def start_runs(self) -> None:
        for spread_limit in (1, 2):
            self.submit(2, 1, spread_limit, long_running=True)
        self.cluster.run_in_turn(rounds_count=2, pause_s=0.3)

    @stateful.rule(
        tasks_count=strategies.integers(1, 3),
        cores=strategies.integers(1, 3),
        spread_limit=strategies.integers(0, 2),
        long_running=strategies.booleans(),
    )
    def submit(
        self,
        tasks_count: int,
        cores: int,
        spread_limit: int,
        long_running: bool,
    ) -> None:
        resources = ttypes.Resources(
            cpu_millicores=cores * 1_000, memory_bytes=1 << 20
        )
        self.cluster.submit(
            builders.step(
                tasks_count,
                resources=resources,
                spread_limit=spread_limit,
                long_running=long_running,
            )
        )

    @stateful.rule(rounds_count=strategies.integers(1, 3))
    def run_in_turn(self, rounds_count: int) -> None:
        self.cluster.run_in_turn(rounds_count=rounds_count, pause_s=0.3)

    @stateful.rule(name=_agents, act=strategies.sampled_from(_ACTS))
    def act(
        self, name: str, act: Callable[[cluster_model.Cluster, str], None]
    ) -> None:
        act(self.cluster, name)

    @stateful.rule()
    def schedule(self) -> None:
        self.cluster.schedule()

    @stateful.rule(seconds=strategies.sampled_from([0.2, 1.0, 3.0, 9.0]))
    def pass_time(self, seconds: float) -> None:
        self.cluster.pass_time(seconds)

    @stateful.rule(name=_agents, call=_calls)
    def leave_calls_unanswered(self, name: str, call: str) -> None:
        self.cluster.workers[name].unanswered.add(call)

    @stateful.rule(name=_agents, spread_limit=strategies.integers(0, 2))
    def start_without_answers(self, name: str, spread_limit: int) -> None:
        self.submit(1, 1, spread_limit, long_running=True)
        self.cluster.start_without_answers(name)

    @stateful.rule(
        name=_agents, cores=strategies.integers(0, cluster_model.WORKER_CORES)
    )
    def announce_capacity(self, name: str, cores: int) -> None:
        self.cluster.announce_capacity(name, cores=cores)

    @stateful.rule(name=_agents)
    def stop_slowly(self, name: str) -> None:
        self.cluster.workers[name].has_slow_stops = True

    @stateful.rule(name=_agents, is_one_way=strategies.booleans())
    def cut_off(self, name: str, is_one_way: bool) -> None:
        link = self.cluster.links[name]
        link.is_reply_lost = is_one_way
        link.is_cut = not is_one_way

    @stateful.rule()
    def heal(self) -> None:
        self.cluster.heal()

    @stateful.rule(name=_agents, position=_positions)
    def run_late_call(self, name: str, position: int) -> None:
        self.cluster.run_late_call(name, position)

    @stateful.rule(
        name=_agents,
        position=_positions,
        kind=strategies.sampled_from(
            [ttypes.RunEndKind.DONE, ttypes.RunEndKind.FAILED]
        ),
    )
    def end_run(
        self, name: str, position: int, kind: ttypes.RunEndKind
    ) -> None:
        self.cluster.end_run(name, position, kind)

    @stateful.rule(name=_agents)
    def restart_agent(self, name: str) -> None:
        self.cluster.restart_agent(name)

    @stateful.rule(name=_agents)
    def restart_worker(self, name: str) -> None:
        self.cluster.restart_worker(name)

    @stateful.invariant()
    def starts_were_allowed(self) -> None:
        assert self.cluster.violations == []


class ConcludingMachine(ClusterMachine):
    """A leader that takes runs for lost which its only worker may have.

    Every task returns to that worker, so its agent alone has to prevent wrong starts.
    """

    AGENTS = ("a1",)

    @stateful.rule(position=_positions)
    def conclude_end(self, position: int) -> None:
        self.cluster.conclude_end(position)


_SETTINGS = hypothesis.settings(
    max_examples=_EXAMPLES_COUNT,
    stateful_step_count=_STEPS_COUNT,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestCluster = ClusterMachine.TestCase
TestCluster.settings = _SETTINGS
TestConcludingLeader = ConcludingMachine.TestCase
TestConcludingLeader.settings = _SETTINGS


def test_unanswered_start_of_a_restarted_agent_begins_nothing_beside_the_next_run() -> (
    None
):
    with contextlib.closing(cluster_model.Cluster("a1", "a2")) as cluster:
        cluster.announce_capacity("a2", cores=0)
        cluster.run_in_turn(rounds_count=2, pause_s=0.3)
        cluster.submit(builders.step(long_running=True))
        cluster.start_without_answers("a1")
        cluster.restart_agent("a1")
        cluster.announce_capacity("a1", cores=0)
        cluster.announce_capacity("a2", cores=cluster_model.WORKER_CORES)
        cluster.run_in_turn(rounds_count=2, pause_s=0.3)
        cluster.heal()
        cluster.run_in_turn(rounds_count=2, pause_s=0.3)
        assert cluster.violations == []
        assert list(cluster.workers["a2"].running) == [("j0.0.0.0", 2)]
