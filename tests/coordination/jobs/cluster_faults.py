"""Faults of the cluster model; most end by themselves after a time."""

from collections.abc import Callable
import itertools
import math

from marigoldsill.protocol import incarnation_ids
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders
from tests.coordination.jobs import cluster_control_faults
from tests.coordination.jobs import cluster_model
from tests.coordination.jobs import model_control
from tests.coordination.jobs import model_jobs

WORKER_CORES = cluster_model.WORKER_CORES
# A call under way is answered within this time, or not at all.
ANSWER_S = 0.8
# Something that an agent does, or that happens meanwhile.
Act = Callable[["FaultyCluster", str], None]


class FaultyCluster(cluster_control_faults.ControlFaults):
    """A cluster in which faults can be brought about."""

    def run_late_call(self, name: str, position: int) -> None:
        """Lets a worker carry out a call that it left unanswered."""
        self.workers[name].run_late_call(position)

    def end_run(
        self, name: str, position: int, kind: ttypes.RunEndKind
    ) -> None:
        """Ends a run on a worker.

        Long-running tasks only fail, as do members of a gang that not all run.
        """
        worker = self.workers[name]
        keys = list(worker.running)
        if not keys:
            return
        key = keys[position % len(keys)]
        if not self._may_be_done(key[0]):
            kind = ttypes.RunEndKind.FAILED
        worker.end_run(key, kind)

    def _may_be_done(self, task: str) -> bool:
        step = self._jobs.step_of(task)
        running = itertools.chain.from_iterable(
            worker.running for worker in self.workers.values()
        )
        members_count = task_names.count_of_step(task, running)
        return not step.long_running and not (
            step.gang and members_count < step.tasks_count
        )

    def begin_unordered_run(self, name: str, *, cores: int) -> bool:
        """Begins a run that was never ordered, if its agent learns of it at once.

        Returns:
            Whether it began.
        """
        worker = self.workers[name]
        step = builders.step(
            long_running=True, resources=model_jobs.resources_of(cores)
        )
        free_millicores = WORKER_CORES * 1_000 - sum(
            self._jobs.step_of(task).resources.cpu_millicores
            for task, _ in worker.running
        )
        if worker.late_calls or free_millicores < cores * 1_000:
            return False
        job_id = self._jobs.add(step, work_s=0.0)
        key = (task_names.name_of(job_id, 0, 0, 0), 1)
        worker.begin_unordered(key)
        self.renew(name)
        is_known = key in self.agents[name].state.held.listed
        if not is_known:
            worker.forget(key)
        self.counts["runs that were never ordered"] += is_known
        return is_known

    def restart_agent(self, name: str) -> None:
        """Starts a new process of an agent."""
        self._stopped.discard(name)
        self.counts["agents replaced"] += 1
        self.links[name].replace_connection()
        self._start_agent(name)

    def restart_worker(self, name: str) -> None:
        """Crashes a worker, which comes back as another incarnation."""
        self.counts["changes of incarnation"] += 1
        self._draining.discard(name)
        self.workers[name].restart_as_next()
        self._announce(name)

    def announce_capacity(
        self, name: str, *, cores: int, duration_s: float = math.inf
    ) -> None:
        """Lets a worker announce another capacity for a time."""
        self._cores[name] = cores
        self._announce(name)
        if duration_s < math.inf:
            self.end_later(
                duration_s,
                lambda: self.announce_capacity(name, cores=WORKER_CORES),
            )

    def leave_unanswered(
        self, name: str, call: str, *, duration_s: float, lateness_s: float
    ) -> None:
        """Lets a worker leave a kind of calls unanswered for a time.

        It carries them out so much later, or not by itself.
        """
        self.workers[name].lateness_s = lateness_s
        unanswered = self.workers[name].unanswered
        unanswered.add(call)
        self.end_later(duration_s, lambda: unanswered.discard(call))

    def break_connections(
        self, name: str, call: str, *, duration_s: float, lateness_s: float
    ) -> None:
        """Lets the connections of a kind of calls to a worker break for a time.

        The first request of each call is carried out so much later.
        """
        self.counts["broken connections"] += 1
        self.workers[name].lateness_s = lateness_s
        breaking = self.workers[name].breaking
        breaking.add(call)
        self.end_later(duration_s, lambda: breaking.discard(call))

    def stop_slowly(self, name: str, *, duration_s: float) -> None:
        """Lets runs continue after their stop for a time."""
        worker = self.workers[name]
        worker.has_slow_stops = True
        self.end_later(
            duration_s, lambda: setattr(worker, "has_slow_stops", False)
        )

    def freeze_agent(self, name: str, *, duration_s: float) -> None:
        """Passes time in which an agent does nothing, while all others run in turn."""
        self.counts["agents frozen"] += 1
        self._stopped.add(name)
        self.run_in_turn(rounds_count=int(duration_s / 0.5), pause_s=0.5)
        self._stopped.discard(name)

    def cut_off(self, name: str, fault: str, *, duration_s: float) -> None:
        """Gives an agent's connection to the leader a fault for a time.

        Args:
            name: The agent.
            fault: The name of an attribute of its `model_link.ModelLink`.
            duration_s: The time.
        """
        link = self.links[name]
        setattr(link, fault, True)

        def end() -> None:
            setattr(link, fault, False)
            # Later reports overtake earlier ones.
            while self.deliver_late_report(name, -1):
                pass

        self.end_later(duration_s, end)

    def start_without_answers(
        self, name: str, *, lateness_s: float = math.inf
    ) -> None:
        """Lets a worker answer no start while all run in turn."""
        self.workers[name].lateness_s = lateness_s
        self.workers[name].unanswered.add("start")
        self.run_in_turn(rounds_count=1, pause_s=0.3)
        self.workers[name].unanswered.discard("start")

    def stop_agent(self, name: str, *, duration_s: float) -> None:
        """Ends the process of an agent; another one starts after a time."""
        self._stopped.add(name)
        self.end_later(duration_s, lambda: self.restart_agent(name))

    def drain(self, name: str) -> None:
        """Lets a worker announce that it drains."""
        self._draining.add(name)
        self._announce(name)

    def deregister(self, name: str, *, leaves_after_s: float) -> None:
        """Lets a worker that drains announce its end, and end some time later."""
        worker = self.workers[name]
        incarnation = worker.incarnation
        if name not in self._draining or worker.is_closed:
            return
        self.counts["deregistrations"] += 1
        if name not in self._stopped:
            self.agents[name].state.deregister(
                incarnation_ids.name_of(incarnation)
            )

        def leave() -> None:
            if worker.incarnation == incarnation:
                worker.leave()
                self.end_later(2.0, return_as_next)

        def return_as_next() -> None:
            if worker.incarnation == incarnation:
                self.restart_worker(name)

        self.end_later(leaves_after_s, leave)

    def lose_power(self) -> None:
        """Restarts all processes at once."""
        for name in self.names:
            self.links[name].drop_late_reports()
            self.restart_worker(name)
            self.restart_agent(name)
        for name in self.controls:
            self.restart_control(name)

    def deliver_late_report(self, name: str, position: int) -> bool:
        """Lets a report of an agent, maybe of an earlier process, arrive late.

        Returns:
            Whether there was one.
        """
        link = self.links[name]
        if not link.late_reports_count:
            return False
        self.counts["late reports"] += link.deliver_late_report(position)
        return True

    def call_slowly(
        self, name: str, act: Act, acts_before_reply: list[Act]
    ) -> None:
        """Lets an agent act, and other acts happen before the reply of the leader."""

        def act_before_reply() -> None:
            self._act(name, acts_before_reply)
            self.pass_time(ANSWER_S)

        self.links[name].before_reply = act_before_reply
        act(self, name)
        self.links[name].before_reply = None

    def execute_slowly(
        self,
        name: str,
        *,
        acts_before_calls: list[Act],
        acts_before_answer: list[Act],
    ) -> None:
        """Lets an agent call its worker, and acts happen meanwhile.

        Args:
            name: The agent. If another process replaces it, the calls are those of the
                earlier one, which was frozen.
            acts_before_calls: What happens before the calls that were begun are made.
            acts_before_answer: What happens before the first answer.
        """
        if name in self._stopped:
            return
        calls = self._begin_calls(name)
        self._act(name, acts_before_calls)
        self.workers[name].before_answer = lambda: self._act(
            name, acts_before_answer
        )
        self._is_caller_replaced = calls is not self._calls[name]
        calls.execute()
        self._is_caller_replaced = False
        self.workers[name].before_answer = None

    def _act(self, name: str, acts: list[Act]) -> None:
        for each in acts:
            each(self, name)

    def heal(self) -> None:
        """Carries out all late calls, and ends all faults."""
        self.run_in_turn(rounds_count=2, pause_s=0.3)
        for worker in self.workers.values():
            while worker.late_calls:
                worker.run_late_call(0)
        self._fault_ends = []
        self.group.before_proposal = None
        self.group.is_next_unknown = False
        self.group.is_awaited = model_control.is_any
        self.group.commit_logged()
        self.end_evacuations()
        for name, worker in self.workers.items():
            self.links[name].heal()
            self.links[name].before_reply = worker.before_answer = None
            worker.unanswered.clear()
            worker.breaking.clear()
            worker.has_slow_stops = worker.is_unwell = False
            if name in self._draining:
                self.restart_worker(name)
            if name in self._stopped:
                self.restart_agent(name)
            self.announce_capacity(name, cores=WORKER_CORES)
