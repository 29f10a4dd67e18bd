"""An agent without threads, with a fake worker, for tests that run it step by step."""

from collections.abc import Sequence
import dataclasses

from marigoldsill.coordination.job_agent import agent_state
from marigoldsill.coordination.job_agent import (
    departure_watch as departure_watch_module,
)
from marigoldsill.coordination.job_agent import executor as executor_module
from marigoldsill.coordination.job_agent import lease as lease_module
from marigoldsill.coordination.job_agent import (
    lease_renewer as lease_renewer_module,
)
from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.jobs import fake_worker

TERM = 3
HOLD_LIMIT_MS = 6_000
RUN = ttypes.RunDesire.RUN
STOP = ttypes.RunDesire.STOP
KEY = ("j1.0.0.0", 1)


def announcement(
    incarnation: str, sequence: int = 1
) -> run_worker.Announcement:
    worker = ttypes.PoolWorker(
        worker_id=incarnation,
        pool="pool",
        data_centre="dc1",
        rack="r1",
        labels=[],
        capacity=ttypes.Resources(cpu_millicores=4_000, memory_bytes=1 << 30),
    )
    return run_worker.Announcement(worker, sequence)


@dataclasses.dataclass
class SteppedAgent:
    """An agent whose lease renewer and executor run only when a test calls them."""

    worker: fake_worker.FakeWorker
    state: agent_state.AgentState
    lease_renewer: lease_renewer_module.LeaseRenewer
    executor: executor_module.Executor
    departure_watch: departure_watch_module.DepartureWatch
    orders_version: int = 0

    def receive_order(
        self,
        desire: ttypes.RunDesire,
        key: tuple[str, int] = KEY,
        incarnation: str = "a1-incarnation1",
        **fields: object,
    ) -> None:
        self.orders_version += 1
        order = ttypes.RunOrder(
            task=key[0],
            run=key[1],
            desire=desire,
            worker_id=incarnation,
            **fields,
        )
        self.receive_orders(orders=[order], removed=[])

    def receive_orders(self, *, term: int = TERM, **fields: object) -> bool:
        reply = ttypes.OrdersReply(
            term=term, version=self.orders_version, **fields
        )
        return self.state.update_orders(reply)

    def receive_lease(
        self, length_s: float = 60.0, min_orders_version: int = 0
    ) -> None:
        self.state.update_lease(
            lease_module.Lease(
                clock.now_s() + length_s, TERM, min_orders_version
            )
        )

    def renew_lease(self) -> None:
        """Calls the newest announced incarnation."""
        self.lease_renewer.renew(
            self.state.newest_announcement.worker.worker_id
        )

    def crash_worker(self, incarnation: str = "a1-incarnation2") -> None:
        """Restarts the worker under another incarnation, without its runs."""
        self.worker.incarnation = incarnation
        self.worker.running.clear()
        self.state.record_announcement(announcement(incarnation))
        self.renew_lease()

    def call_incarnations(self, *, rounds_count: int) -> list[str]:
        """Lets the lease renewer make calls; returns the incarnations it called."""
        before = len(self.worker.called_incarnations)
        for _ in range(rounds_count):
            if incarnation := self.lease_renewer.next_incarnation():
                self.lease_renewer.try_renew(incarnation)
        return self.worker.called_incarnations[before:]

    def execute_orders(self) -> None:
        """Makes the calls that are due, and waits until they are done."""
        with self.state.changed:
            self.executor.reconcile()
        self.executor.wait_until_idle()

    def run_until_settled(self) -> None:
        """Executes orders and lists runs until nothing changes any more."""
        for _ in range(6):
            self.execute_orders()
            self.renew_lease()

    def record_reported_ends(self) -> ttypes.AgentReport:
        """Lets control record the ends that the agent reports; returns the report."""
        state = self.state
        report = ttypes.AgentReport(
            agent="a1",
            ends=list(state.ends.values()),
            worker_id=state.worker_id,
        )
        state.remove_reported_ends(
            report, ttypes.AgentReply(term=TERM), state.listed_end_number
        )
        return report

    def end_kinds(self) -> dict[tuple[str, int], ttypes.RunEndKind]:
        return {key: end.kind for key, end in self.state.ends.items()}

    def call_names(self) -> list[str]:
        return [name for name, _ in self.worker.calls]


def build_agent(
    worker: fake_worker.FakeWorker, **state_options: float
) -> SteppedAgent:
    """Builds an agent that knows nothing of its worker or a leader."""
    state = agent_state.AgentState(**state_options)
    lease_renewer = lease_renewer_module.LeaseRenewer(
        state=state, worker=worker, lease_limit_s=HOLD_LIMIT_MS / 1000
    )
    executor = executor_module.Executor(
        state=state, worker=worker, lease_renewer=lease_renewer, retry_s=0.0
    )
    watch = departure_watch_module.DepartureWatch(
        state=state, worker=worker, lease_limit_s=HOLD_LIMIT_MS / 1000
    )
    return SteppedAgent(worker, state, lease_renewer, executor, watch)


def make_agent(
    worker: fake_worker.FakeWorker | None = None,
    *,
    first_orders: Sequence[ttypes.RunOrder] = (),
    **state_options: float,
) -> SteppedAgent:
    """Makes an agent that has a lease and has called its worker once.

    Args:
        worker: The worker; None for a new one.
        first_orders: The orders in the first reply of the leader.
        **state_options: Options of the agent's state.
    """
    worker = worker or fake_worker.FakeWorker()
    agent = build_agent(worker, **state_options)
    agent.state.record_announcement(announcement(worker.incarnation))
    agent.receive_orders(orders=list(first_orders), removed=[], whole=True)
    agent.receive_lease()
    agent.renew_lease()
    return agent
