"""A leader and an agent in simulated time, whose worker carries out calls late.

The worker keeps its name when it restarts. Calls without an answer are carried out late,
by whichever incarnation there is then.
"""

from collections.abc import Callable
import itertools

import pytest

from marigoldsill import errors
from marigoldsill.coordination.job_agent import lease_renewer
from marigoldsill.coordination.job_agent import reporter as reporter_module
from marigoldsill.coordination.jobs import lease_monitor
from marigoldsill.coordination.worker_incarnations import late_calls
from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.jobs import builders
from tests.coordination.jobs import fake_worker
from tests.coordination.jobs import single_leader
from tests.coordination.jobs import stepped_agent

OLD, NEW = "w1@100", "w1@200"
KEY = (builders.task_name(), 1)
# A worker's clock may be 2% slow.
LONGEST_LEASE_S = stepped_agent.HOLD_LIMIT_MS / 1000 * 1.02
_STEP_S = 0.25
_REPORT_INTERVAL_S = 1.0


class LateWorker(fake_worker.RestartingWorker):
    """A worker that carries out unanswered calls late, and ends runs with its lease.

    Attributes:
        is_cut_off: Whether no call is answered.
        delays_s: How late unanswered calls are carried out, in turn.
    """

    def __init__(self, incarnation: str):
        super().__init__(incarnation)
        self.is_cut_off = False
        self.delays_s = itertools.cycle([late_calls.LATE_CALL_LIMIT_S])
        # When each call is due, whom it was meant for, and what it does.
        self._late: list[tuple[float, str, Callable[[], None]]] = []
        self._lease_end_s = 0.0

    def carry_out_late_calls(self) -> None:
        """Carries out what is due, and ends runs whose lease has expired."""
        now_s = clock.now_s()
        due = [row for row in self._late if row[0] <= now_s]
        self._late = [row for row in self._late if row[0] > now_s]
        for _, incarnation, call in due:
            # On the clock of the incarnation that was called, the deadline is over.
            if incarnation != self.incarnation:
                call()
        if clock.now_s() > self._lease_end_s:
            self.running.clear()

    def renew_lease(
        self, worker_id: str, *, deadline_ms: int | None, **arguments: object
    ) -> run_worker.RunListing:
        """Lists runs, unless the worker is cut off."""
        if self.is_cut_off:
            if deadline_ms is not None:
                self._delay(worker_id, self._extend_lease)
            raise self.unanswered_error
        if deadline_ms is not None:
            self._extend_lease()
        return super().renew_lease(
            worker_id, deadline_ms=deadline_ms, **arguments
        )

    def _call(
        self,
        name: str,
        worker_id: str,
        key: tuple[str, int],
        action: Callable[[], None],
    ) -> int:
        if self.is_cut_off:
            self.calls.append((name, key))
            self._delay(worker_id, action)
            raise errors.TransportError("no answer", sent=True, timed_out=True)
        return super()._call(name, worker_id, key, action)

    def _delay(self, worker_id: str, call: Callable[[], None]) -> None:
        due_s = clock.now_s() + next(self.delays_s)
        self._late.append((due_s, worker_id, call))

    def _start(self, key: tuple[str, int]) -> None:
        # The deadline was on the clock of an earlier incarnation and thus is far away.
        self._extend_lease()
        try:
            super()._start(key)
        except errors.RunRefusedError:
            return

    def _extend_lease(self) -> None:
        self._lease_end_s = clock.now_s() + LONGEST_LEASE_S


class Harness:
    """A leader, an agent that reports to it, and the agent's worker.

    Attributes:
        now_s: The simulated time.
        worker: The worker.
        is_agent_lost: Whether the agent makes no calls any more.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, incarnation: str = OLD):
        self.now_s = 1_000.0
        monkeypatch.setattr(clock, "now_s", lambda: self.now_s)
        # The pause after an unanswered call is in real time.
        monkeypatch.setattr(lease_renewer, "_PAUSE_S", 0.0)
        self.leader = single_leader.Leader()
        self.worker = LateWorker(incarnation)
        self.is_agent_lost = False
        self._monitor = lease_monitor.LeaseMonitor(
            replica=self.leader.replica, service=self.leader.service
        )
        self._start_agent(stepped_agent.make_agent(self.worker))

    @property
    def is_recorded(self) -> bool:
        """Whether the leader has the run on record, so that its task is not granted."""
        return KEY[0] in self.leader.runs.get("a1", ())

    def grant(self) -> None:
        """Grants the run to the worker's incarnation."""
        self.leader.submit("j1")
        grant = ttypes.RunGrant(
            task=KEY[0],
            run=KEY[1],
            agent="a1",
            worker_id=self.worker.incarnation,
        )
        self.leader.service.propose(grant_runs=ttypes.GrantRuns(grants=[grant]))

    def announce(self, incarnation: str) -> None:
        """Sends the agent a heartbeat of an incarnation."""
        self.agent.state.record_announcement(
            stepped_agent.announcement(incarnation)
        )

    def restart_agent(self) -> None:
        """Replaces the agent's process by another, which knows nothing of before."""
        self._start_agent(stepped_agent.build_agent(self.worker))

    def change_leader(self) -> None:
        """Begins a term of a leader that knows only the log."""
        self.leader.service.led_term = 0
        self.leader.service.become_leader()

    def advance(self, duration_s: float) -> None:
        """Advances the time; fails if a run goes on that the leader counts as over."""
        for _ in range(round(duration_s / _STEP_S)):
            self.now_s += _STEP_S
            self.worker.carry_out_late_calls()
            if not self.is_agent_lost:
                self._step_agent()
            self._monitor.check(now_s=self.now_s)
            assert self.is_recorded or not self.worker.running, (
                f"{KEY} runs at {self.now_s - 1_000} s although it was recorded as lost"
            )

    def recorded_for_s(self) -> float:
        """Advances until the leader has recorded the run as over; returns the time."""
        start_s = self.now_s
        while self.is_recorded:
            self.advance(_STEP_S)
        return self.now_s - start_s

    def call(
        self, _name: str, report: ttypes.AgentReport, *, timeout_s: float
    ) -> ttypes.AgentReply:
        """Passes a report to the leader."""
        assert timeout_s > 0
        return self.leader.service.agent_report(report)

    def _start_agent(self, agent: stepped_agent.SteppedAgent) -> None:
        self.agent = agent
        self._reporter = reporter_module.Reporter(
            agent="a1", state=self.agent.state, link=self
        )
        self._reported_s = 0.0
        # The agent's lease of its tests is longer than any of a leader.
        self.agent.receive_lease(length_s=0.0)
        self.agent.state.term = self.agent.state.run_orders.term = 0
        self._step_agent()

    def _step_agent(self) -> None:
        is_due = self.now_s - self._reported_s >= _REPORT_INTERVAL_S
        if is_due or self._reporter._must_report_now():
            self._reporter._report()
            self._reported_s = self.now_s
        state = self.agent.state
        state.update_orders(
            self.leader.service.agent_orders(
                ttypes.OrdersRequest(
                    agent="a1",
                    term=state.run_orders.term,
                    version=state.run_orders.version,
                    wait_ms=0,
                )
            )
        )
        self.agent.call_incarnations(rounds_count=1)
        self.agent.execute_orders()
