"""A leader and its agents on a simulated clock, with workers that check each start.

The leader's service and scheduler and the agents' state, executor, reporter and lease
renewer are the real ones, run step by step. Workers enforce leases on their own clock,
and carry out calls late that they left unanswered.
"""

from collections.abc import Callable
import contextlib
import dataclasses
from unittest import mock

from marigoldsill import errors
from marigoldsill.coordination.job_agent import lease_renewer
from marigoldsill.coordination.job_agent import reporter as reporter_module
from marigoldsill.coordination.worker_incarnations import late_calls
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables
from marigoldsill.transport import clock
from tests.coordination.jobs import builders
from tests.coordination.jobs import fake_worker
from tests.coordination.jobs import single_leader
from tests.coordination.jobs import stepped_agent

WORKER_CORES = 4
# The worker's clock is slower than that of its agent.
_WORKER_CLOCK_RATIO = 0.98


class ModelWorker(fake_worker.FakeWorker):
    """A worker that starts what it is told to start, and checks each start.

    Attributes:
        late_calls: When each unanswered call was made, and the call.
    """

    def __init__(self, name: str, check_start: Callable[["ModelWorker"], None]):
        super().__init__(f"{name}-incarnation1")
        self._name = name
        self._check_start = check_start
        self._incarnations_count = 1
        self._deadline_ms = 0
        self.late_calls: list[tuple[float, Callable[[], None]]] = []

    def clock_ms(self, at_s: float | None = None) -> int:
        """Returns the worker's clock."""
        local_s = clock.now_s() if at_s is None else at_s
        passed_s = local_s - self._created_s
        return 1_000 + int(passed_s * 1_000 * _WORKER_CLOCK_RATIO)

    def start(
        self, worker_id: str, start: run_worker.RunStart, *, token: int
    ) -> int:
        """Starts a run whose deadline has not passed."""
        key = (start.task, start.run)
        return self._call(
            "start", worker_id, key, lambda: self._begin(key, start.deadline_ms)
        )

    def renew_lease(
        self, worker_id: str, **arguments: object
    ) -> run_worker.RunListing:
        """Extends the lease and lists runs."""

        def extend() -> None:
            self.expire_runs()
            deadline_ms = arguments["deadline_ms"] or 0
            self._deadline_ms = max(self._deadline_ms, deadline_ms)

        if "renew" in self.unanswered:
            self._delay(worker_id, extend)
            raise errors.TransportError("no answer", sent=True, timed_out=True)
        self._check_incarnation(worker_id)
        extend()
        return super().renew_lease(worker_id, **arguments)

    def expire_runs(self) -> None:
        """Ends all runs if their lease has expired."""
        if self.clock_ms() > self._deadline_ms:
            for key in list(self.running):
                self._end(key, ttypes.RunEndKind.LAPSED)

    def restart_as_next(self) -> None:
        """Crashes and starts again as another incarnation."""
        self._incarnations_count += 1
        self.restart(f"{self._name}-incarnation{self._incarnations_count}")
        self._deadline_ms = 0

    def _call(
        self, name: str, worker_id: str, key: task_names.RunKey, action
    ) -> int:
        self.expire_runs()
        return super()._call(name, worker_id, key, action)

    def _delay(self, worker_id: str, action) -> None:
        def call() -> None:
            self._check_incarnation(worker_id)
            action()

        self.late_calls.append((clock.now_s(), call))

    def _begin(self, key: task_names.RunKey, deadline_ms: int) -> None:
        self.expire_runs()
        if self.clock_ms() > deadline_ms:
            reason = run_worker.RefusalReason.TOO_LATE
            raise errors.RunRefusedError("409", reason=reason)
        self._deadline_ms = max(self._deadline_ms, deadline_ms)
        before = set(self.running)
        self._start(key)
        if key not in before:
            self._check_start(self)


@dataclasses.dataclass(slots=True)
class _Link:
    """Carries reports to the leader.

    Attributes:
        leader: The leader.
        is_cut: Whether nothing arrives.
        is_reply_lost: Whether replies are lost.
    """

    leader: single_leader.Leader
    is_cut: bool = False
    is_reply_lost: bool = False

    def call(
        self, _name: str, report: ttypes.AgentReport, *, timeout_s: float
    ) -> ttypes.AgentReply:
        """Sends a report; `timeout_s` has no effect."""
        if self.is_cut:
            raise errors.TransportError("cut off", sent=False)
        reply = self.leader.service.agent_report(report)
        if self.is_reply_lost:
            raise errors.TransportError("no answer", sent=True)
        return reply


class Cluster:
    """A leader, its agents and their workers.

    Attributes:
        names: The names of the agents.
        violations: What was wrong with starts, as seen at the workers.
        workers: The workers by the name of their agent.
    """

    def __init__(self, *names: str):
        self.names = names
        self._now_s = clock.now_s()
        self._patches = contextlib.ExitStack()
        self._patches.enter_context(
            mock.patch.object(clock, "now_s", self._read_clock)
        )
        self._patches.enter_context(
            mock.patch.object(lease_renewer, "_PAUSE_S", 0.0)
        )
        self.violations: list[str] = []
        self._steps: dict[str, ttypes.Step] = {}
        self.leader = single_leader.Leader()
        self.leader.scheduler._loop = lambda: None
        self.leader.scheduler.start(self.leader.service)
        self.workers = {
            name: ModelWorker(name, self._check_start) for name in names
        }
        self.links = {name: _Link(self.leader) for name in self.names}
        self._agents: dict[str, stepped_agent.SteppedAgent] = {}
        self._reporters: dict[str, reporter_module.Reporter] = {}
        self._sequence = 0
        self._cores = dict.fromkeys(names, WORKER_CORES)
        for name in self.names:
            self._start_agent(name)

    def close(self) -> None:
        """Stops all threads."""
        self.leader.scheduler.stop()
        for agent in self._agents.values():
            agent.executor._pool.shutdown(wait=False)
        self._patches.close()

    def submit(self, step: ttypes.Step) -> str:
        """Submits a job of one step; returns its id."""
        job_id = f"j{len(self._steps)}"
        self._steps[job_id] = step
        self.leader.submit(job_id, step)
        return job_id

    def cancel(self, job_id: str) -> None:
        """Cancels a job."""
        address = ttypes.JobAddress(
            host="jobs.example", path=f"/{builders.QUEUE}/{job_id}"
        )
        self.leader.service.cancel_job(address)

    def schedule(self) -> None:
        """Runs a round of the leader."""
        self.leader.scheduler._run_round()

    def conclude_end(self, position: int) -> None:
        """Lets the leader record a run as lost that may be on its worker."""
        with self.leader.replica.lock:
            runs = self.leader.replica.tables.jobs.runs_by_agent
            keys = [key for each in runs.values() for key in each]
        if not keys:
            return
        task, run = keys[position % len(keys)]
        end = ttypes.RunEnd(task=task, run=run, kind=ttypes.RunEndKind.LOST)
        self.leader.service.propose(
            record_run_ends=ttypes.RecordRunEnds(ends=[end])
        )

    def deliver_orders(self, name: str) -> None:
        """Gives an agent the leader's orders."""
        if self.links[name].is_cut:
            return
        state = self._agents[name].state
        request = ttypes.OrdersRequest(
            agent=name,
            term=state.run_orders.term,
            version=state.run_orders.version,
        )
        state.update_orders(self.leader.service.agent_orders(request))

    def report(self, name: str) -> None:
        """Lets an agent report to the leader."""
        with contextlib.suppress(errors.TransportError):
            self._reporters[name]._report()

    def renew(self, name: str) -> None:
        """Lets an agent call its worker, to renew the lease and to list runs."""
        renewer = self._agents[name].lease_renewer
        if worker_id := renewer.next_incarnation():
            renewer.try_renew(worker_id)

    def execute(self, name: str) -> None:
        """Lets an agent make the calls that are due."""
        self._agents[name].execute_orders()

    def pass_time(self, seconds: float) -> None:
        """Moves the clock; leases expire, and calls become too late to take effect."""
        self._now_s += seconds
        for worker in self.workers.values():
            worker.expire_runs()
            worker.late_calls = [
                (sent_s, call)
                for sent_s, call in worker.late_calls
                if self._now_s - sent_s < late_calls.LATE_CALL_LIMIT_S
            ]

    def run_late_call(self, name: str, position: int) -> None:
        """Lets a worker carry out a call that it left unanswered."""
        calls = self.workers[name].late_calls
        if calls:
            _, call = calls.pop(position % len(calls))
            with contextlib.suppress(errors.MarigoldsillError):
                call()

    def end_run(
        self, name: str, position: int, kind: ttypes.RunEndKind
    ) -> None:
        """Ends a run on a worker; long-running tasks only fail."""
        worker = self.workers[name]
        keys = list(worker.running)
        if not keys:
            return
        key = keys[position % len(keys)]
        if self._step_of(key[0]).long_running:
            kind = ttypes.RunEndKind.FAILED
        worker.end_run(key, kind)

    def restart_agent(self, name: str) -> None:
        """Starts a new process of an agent."""
        self._agents[name].executor._pool.shutdown(wait=False)
        self._start_agent(name)

    def restart_worker(self, name: str) -> None:
        """Crashes a worker, which comes back as another incarnation."""
        self.workers[name].restart_as_next()
        self._announce(name)

    def announce_capacity(self, name: str, *, cores: int) -> None:
        """Lets a worker announce another capacity than before."""
        self._cores[name] = cores
        self._announce(name)

    def start_without_answers(self, name: str) -> None:
        """Lets a worker answer no start while all run in turn."""
        self.workers[name].unanswered.add("start")
        self.run_in_turn(rounds_count=1, pause_s=0.3)
        self.workers[name].unanswered.discard("start")

    def heal(self) -> None:
        """Carries out all late calls, and ends all faults."""
        self.run_in_turn(rounds_count=2, pause_s=0.3)
        for name in self.names:
            while self.workers[name].late_calls:
                self.run_late_call(name, 0)
        for name in self.names:
            self.announce_capacity(name, cores=WORKER_CORES)
            self.links[name].is_cut = self.links[name].is_reply_lost = False
            self.workers[name].unanswered = set()
            self.workers[name].has_slow_stops = False

    def run_in_turn(self, *, rounds_count: int, pause_s: float) -> None:
        """Runs the leader and all agents, each in its turn."""
        for _ in range(rounds_count):
            self.schedule()
            for name in self.names:
                self.deliver_orders(name)
                self.execute(name)
                self.renew(name)
                self.report(name)
            self.pass_time(pause_s)

    def settle(self, *, rounds_count: int) -> None:
        """Lets everything run without faults."""
        self.heal()
        self.run_in_turn(rounds_count=rounds_count, pause_s=0.5)

    def unexecuted_orders(self) -> list[ttypes.RunOrder]:
        """Returns the orders to run what is not on the worker."""
        return [
            order
            for name, agent in self._agents.items()
            for key, order in agent.state.orders.items()
            if order.desire == ttypes.RunDesire.RUN
            and key not in self.workers[name].running
        ]

    def unordered_runs(self) -> list[task_names.RunKey]:
        """Returns the runs on workers that their agents have no order for."""
        return [
            key
            for name, agent in self._agents.items()
            for key in self.workers[name].running
            if key not in agent.state.orders
        ]

    def _read_clock(self) -> float:
        return self._now_s

    def _start_agent(self, name: str) -> None:
        agent = stepped_agent.build_agent(self.workers[name])
        self._agents[name] = agent
        self._reporters[name] = reporter_module.Reporter(
            agent=name, state=agent.state, link=self.links[name]
        )
        self._announce(name)

    def _announce(self, name: str) -> None:
        self._sequence += 1
        announcement = stepped_agent.announcement(
            self.workers[name].incarnation, self._sequence
        )
        announcement.worker.pool = builders.POOL
        cores = self._cores[name]
        announcement.worker.capacity.cpu_millicores = cores * 1_000
        self._agents[name].state.record_announcement(announcement)

    def _step_of(self, task: str) -> ttypes.Step:
        return self._steps[task_names.parse(task).job_id]

    def _check_start(self, worker: ModelWorker) -> None:
        """Checks what a worker has after a run began on it."""
        key = list(worker.running)[-1]
        task, _ = key
        step = self._step_of(task)
        cores = sum(
            self._step_of(other).resources.cpu_millicores
            for other, _ in worker.running
        )
        if cores > WORKER_CORES * 1_000:
            self.violations.append(f"{key} began over the capacity")
        step_name = task_names.step_name_of(task)
        siblings_count = sum(
            task_names.step_name_of(other) == step_name
            for other, _ in worker.running
        )
        if 0 < step.spread_limit < siblings_count:
            self.violations.append(f"{key} began over the spread limit")
        runs_count = sum(
            other == task
            for each in self.workers.values()
            for other, _ in each.running
        )
        if runs_count > 1:
            self.violations.append(f"{key} began beside another run")
        if self._is_recorded_as_done(task):
            self.violations.append(f"{key} began after its task was done")

    def _is_recorded_as_done(self, task: str) -> bool:
        jobs = self.leader.replica.tables.jobs
        record = jobs.jobs[task_names.parse(task).job_id]
        if record.state == ttypes.JobState.COMPLETED:
            return True
        found = job_tables.find_task(record, task_names.parse(task))
        return found is not None and found.done
