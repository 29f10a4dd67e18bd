"""Control, agents and workers on a simulated clock, with a check of each start.

The leader's service and scheduler and the agents' state, executor, reporter and lease
renewer are the real ones, run step by step. Workers enforce leases on their own clock,
and carry out calls late that they left unanswered.
"""

import collections
from collections.abc import Callable
from collections.abc import Set
import contextlib
import functools
from unittest import mock

from marigoldsill import errors
from marigoldsill.coordination.job_agent import lease_renewer
from marigoldsill.coordination.job_agent import reporter as reporter_module
from marigoldsill.coordination.jobs import report_handler
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.jobs import builders
from tests.coordination.jobs import model_agent
from tests.coordination.jobs import model_checks
from tests.coordination.jobs import model_control
from tests.coordination.jobs import model_jobs
from tests.coordination.jobs import model_link
from tests.coordination.jobs import model_worker
from tests.coordination.jobs import stepped_agent

WORKER_CORES = model_checks.WORKER_CORES
CONTROL_NAMES = ("c1", "c2")
CONTROL_ERRORS = (errors.MarigoldsillError, ttypes.NotLeader, ttypes.NoQuorum)


def data_centre_of(name: str) -> str:
    """Returns the data centre of an agent."""
    return f"data centre of {name}"


class Cluster:
    """Control processes, agents and their workers, without faults.

    Attributes:
        names: The names of the agents.
        group: The log of control, and who leads.
        controls: The control processes by name.
        workers: The workers by the name of their agent.
        links: The connections of the agents to the leader.
        agents: The processes of the agents.
    """

    def __init__(
        self,
        *names: str,
        worker_type: type[model_worker.ModelWorker] = model_worker.ModelWorker,
    ):
        """Starts all processes.

        Args:
            *names: The names of the agents.
            worker_type: The type of their workers.
        """
        self.names = names
        self._now_s = clock.now_s()
        self._patches = contextlib.ExitStack()
        self._patches.enter_context(
            mock.patch.object(clock, "now_s", self._read_clock)
        )
        self._patches.enter_context(
            mock.patch.object(lease_renewer, "_PAUSE_S", 0.0)
        )
        # Nothing happens during a wait.
        self._patches.enter_context(
            mock.patch.object(report_handler, "_RECORD_WAIT_S", 0.0)
        )
        self._jobs = model_jobs.ModelJobs()
        # When faults end, and how.
        self._fault_ends: list[tuple[float, Callable[[], None]]] = []
        self.group = model_control.ModelGroup()
        self.controls: dict[str, model_control.Control] = {}
        self._start_control(CONTROL_NAMES[0])
        for name in CONTROL_NAMES[1:]:
            self._start_control(name)
        self._checks = model_checks.StartChecks(
            step_of=self._jobs.step_of,
            tables=lambda: self.leader.replica.tables,
        )
        self.workers = {
            name: worker_type(
                name,
                work_s_of=self._jobs.work_s_of,
                on_start=self._checks.check,
                on_request=functools.partial(self._check_request, name),
            )
            for name in names
        }
        self._checks.workers = self.workers
        self.links = {
            name: model_link.ModelLink(lambda: self.leader)
            for name in self.names
        }
        self._calls: dict[str, model_agent.CallQueue] = {}
        self.agents: dict[str, stepped_agent.SteppedAgent] = {}
        self._reporters: dict[str, reporter_module.Reporter] = {}
        self._sequence = 0
        self._cores = dict.fromkeys(names, WORKER_CORES)
        self._draining: set[str] = set()
        self._stopped: set[str] = set()
        # Whether the calls of a process are made that another one has replaced.
        self._is_caller_replaced = False
        for name in self.names:
            self._start_agent(name)

    @property
    def leader(self) -> model_control.Control:
        """The control process that leads."""
        return self.controls[self.group.leader.member.name]

    @property
    def violations(self) -> list[str]:
        """What was wrong with starts, as seen at the workers."""
        return self._checks.violations

    @property
    def counts(self) -> collections.Counter[str]:
        """How often each kind of event occurred."""
        return self._checks.counts

    def close(self) -> None:
        """Stops all threads."""
        for control in self.controls.values():
            control.stop()
        self._patches.close()

    def submit(self, step: ttypes.Step, *, work_s: float = 2.0) -> str:
        """Submits a job of one step whose runs take a time; returns its id."""
        job_id = self._jobs.add(step, work_s=work_s)
        with contextlib.suppress(*CONTROL_ERRORS):
            self.leader.jobs.submit(job_id, step)
        return job_id

    def cancel(self, job_id: str) -> None:
        """Cancels a job."""
        address = ttypes.JobAddress(
            host="jobs.example", path=f"/{builders.QUEUE}/{job_id}"
        )
        with contextlib.suppress(*CONTROL_ERRORS):
            self.leader.jobs.service.cancel_job(address)

    def schedule(self) -> None:
        """Runs a round of the leader."""
        self.leader.run_round()

    def deliver_orders(self, name: str) -> None:
        """Gives an agent the leader's orders."""
        if name in self._stopped:
            return
        state = self.agents[name].state
        request = ttypes.OrdersRequest(
            agent=name,
            term=state.run_orders.term,
            version=state.run_orders.version,
        )
        with contextlib.suppress(*CONTROL_ERRORS):
            state.update_orders(self.links[name].orders(request))

    def report(self, name: str) -> None:
        """Lets an agent report to the leader, unless one of its reports is under way."""
        if name in self._stopped or self.links[name].is_reporting:
            return
        with contextlib.suppress(*CONTROL_ERRORS):
            self._reporters[name]._report()

    def renew(self, name: str) -> None:
        """Lets an agent call its worker, to renew the lease and to list runs."""
        if name in self._stopped:
            return
        agent = self.agents[name]
        if worker_id := agent.lease_renewer.next_incarnation():
            agent.lease_renewer.try_renew(worker_id)
        agent.departure_watch.check()

    def execute(self, name: str) -> None:
        """Lets an agent make the calls that are due."""
        if name in self._stopped:
            return
        self._begin_calls(name).execute()

    def pass_time(self, seconds: float) -> None:
        """Moves the clock; runs and leases end, and calls become too late.

        Faults end whose time is over.
        """
        self._now_s += seconds
        for control in self.controls.values():
            control.replica.catch_up()
        for worker in self.workers.values():
            worker.expire_runs()
            worker.run_due_calls()
        due = [end for end_s, end in self._fault_ends if end_s <= self._now_s]
        self._fault_ends = [
            row for row in self._fault_ends if row[0] > self._now_s
        ]
        for end in due:
            end()

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

    def _read_clock(self) -> float:
        return self._now_s

    def _start_control(self, name: str) -> None:
        """Starts a process of a control; the first one of all leads."""
        source = self.group.leader
        control = model_control.Control(name, self.group, source=source)
        self.controls[name] = control
        if source is None:
            self.group.elect(control.replica, keeps_logged=False)
            control.jobs.service.replace_routing(builders.routing())
        control.replica.on_applied(
            lambda command: self._count_command(control, command)
        )
        control.replica.on_ends = lambda keys: self._check_ends(control, keys)

    def _begin_calls(self, name: str) -> model_agent.CallQueue:
        """Lets an agent begin the calls that are due; returns them."""
        agent = self.agents[name]
        with agent.state.changed:
            agent.executor.reconcile()
        return self._calls[name]

    def _start_agent(self, name: str) -> None:
        agent, self._calls[name] = model_agent.build_agent(self.workers[name])
        self.agents[name] = agent
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
        announcement.worker.data_centre = data_centre_of(name)
        announcement.worker.draining = name in self._draining
        cores = self._cores[name]
        announcement.worker.capacity.cpu_millicores = cores * 1_000
        self.agents[name].state.record_announcement(announcement)

    def _check_ends(
        self, control: model_control.Control, keys: Set[task_names.RunKey]
    ) -> None:
        if control is self.leader:
            self._checks.check_ends(keys)

    def _check_request(
        self,
        name: str,
        worker: model_worker.ModelWorker,
        key: task_names.RunKey,
    ) -> None:
        state = self.agents[name].state
        if state.worker is None or self._is_caller_replaced:
            return
        self._checks.check_request(worker, key, state.worker.capacity)
        if state.run_orders.evacuations.includes(state.worker):
            self.violations.append(f"{key} was requested in an evacuation")

    def _count_command(
        self, control: model_control.Control, command: ttypes.Command
    ) -> None:
        if control is self.leader and command.record_run_ends is not None:
            self.counts.update(
                map(model_checks.kind_of_end, command.record_run_ends.ends)
            )
