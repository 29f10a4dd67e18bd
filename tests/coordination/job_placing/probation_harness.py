"""A leader with workers on probation or in quarantine."""

from collections.abc import Iterable

from marigoldsill.coordination.job_locality import locality_settings
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.jobs import ticket_requester
from marigoldsill.coordination.jobs import worker_refresher
from marigoldsill.protocol import adviser
from marigoldsill.protocol.generated import ttypes
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders

ADVISED = "advised"
ROUND_S = 0.25


class _Views:
    """The agents of a leader, all of which have reported."""

    def __init__(self, views: dict[str, agents_module.AgentView]):
        self._views = views

    def get(self, name: str) -> agents_module.AgentView | None:
        return self._views.get(name)

    def all(self) -> Iterable[agents_module.AgentView]:
        return self._views.values()


class _EternalLeases:
    """Leases that never expire."""

    def __init__(self, views: dict[str, agents_module.AgentView]):
        self._views = views

    def is_live(self, agent: str) -> bool:
        return True

    def live_agents(self) -> set[str]:
        return set(self._views)


class ProbationHarness(leader_harness.LeaderHarness):
    """A leader that decides by the health of its workers which may be used."""

    def __init__(
        self,
        *queues: ttypes.Queue,
        locality: locality_settings.LocalitySettings | None = None,
    ):
        super().__init__(*queues, locality=locality)
        self.stalled_ids: set[str] = set()
        self._failed_count = 0
        self._refresher = worker_refresher.WorkerRefresher(
            agents=_Views(self.views),
            leases=_EternalLeases(self.views),
            health=self.health,
            placement=self.placement,
        )

    def set_worker(self, agent: str, cores: int = 8, **fields: object) -> None:
        super().set_worker(agent, cores, **fields)
        self._refresher.mark_stale([agent])

    def refresh_workers(self) -> None:
        self.health.begin_due_probations()
        for worker_id in self.stalled_ids:
            self.health.report_stall(worker_id, runs_count=2)
        self.health.begin_wanted_probations(self.placement.take_wanted())
        changed_agents = self.state.tables.jobs.pop_changed_agents()
        self._refresher.mark_stale(changed_agents)
        self._refresher.refresh(self.state.tables, now_s=self.now_s)

    def play(self, duration_s: float) -> dict[str, float]:
        """Runs rounds; returns after how long each task first started."""
        began_s, started_s = self.now_s, {}
        while self.now_s - began_s <= duration_s:
            for task in self.run_round():
                started_s.setdefault(task, self.now_s - began_s)
            self.answer_requests()
            self.now_s += ROUND_S
        return started_s

    def submit_advised(self, job_id: str, *steps: ttypes.Step) -> None:
        job = builders.job(job_id, *steps)
        job.queue = ADVISED
        self.state.submit(job)

    def answer_requests(self) -> None:
        """Answers as an adviser does that allows all steps on all workers."""
        for waiting in self.backlog.rank_steps(
            self.urgency, now_unix_ms=builders.NOW_UNIX_MS
        ):
            if not waiting.queue.advised:
                continue
            for request in ticket_requester.build_requests(
                [waiting],
                self.placement.workers_to_advise(),
                self.tickets,
                now_s=self.now_s,
            ):
                self.tickets.record_answer(
                    request.key,
                    request.worker_ids,
                    [adviser.Ticket(i, "ticket") for i in request.worker_ids],
                    valid_ms=request.valid_ms,
                    now_s=self.now_s,
                )

    def add_on_probation(
        self,
        agent: str,
        label: str = "",
        *,
        is_occupied: bool = False,
        **fields: object,
    ) -> None:
        """Adds a worker whose first quarantine is over.

        Args:
            agent: The agent of the worker.
            label: Its only label, if it has to differ from others.
            is_occupied: Whether a long task starts on it.
            **fields: Other arguments of `set_worker`.
        """
        self._set_labelled_worker(agent, label, **fields)
        self._fail_runs_on(agent, label)
        self.now_s += 2.0
        self.health.begin_due_probations()
        assert self.health.is_on_probation(self._worker_id(agent))
        if is_occupied:
            self.submit("long", builders.step(required_label=label))
            assert list(self.run_round().values()) == [agent]

    def add_in_long_quarantine(self, agent: str, label: str) -> None:
        """Adds a worker that fails probes until its quarantine is long."""
        self._set_labelled_worker(agent, label)
        self._fail_runs_on(agent, label)
        for number in range(5):
            while self.health.is_quarantined(self._worker_id(agent)):
                self.now_s += 1
                self.health.begin_due_probations()
            self.submit(f"p{number}", builders.step(required_label=label))
            [task] = self.run_round()
            self.record_end(builders.run_end(task, ttypes.RunEndKind.FAILED))
            self.state.cancel(f"p{number}")

    def _set_labelled_worker(
        self, agent: str, label: str, **fields: object
    ) -> None:
        labels = {"labels": [label]} if label else {}
        self.set_worker(agent, **labels, **fields)

    def _fail_runs_on(self, agent: str, label: str) -> None:
        """Fails runs of several jobs on a worker until it is in quarantine."""
        while not self.health.is_quarantined(self._worker_id(agent)):
            self._failed_count += 1
            job_id = f"f{self._failed_count}"
            self.submit(job_id, builders.step(required_label=label))
            for task, used in self.run_round().items():
                assert used == agent
                self.record_end(
                    builders.run_end(task, ttypes.RunEndKind.FAILED)
                )
            self.state.cancel(job_id)

    def _worker_id(self, agent: str) -> str:
        return self.views[agent].worker.worker_id
