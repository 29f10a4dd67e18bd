"""Measures the leader's rounds about jobs by workers and waiting tasks.

Free capacity and scores are cached between rounds. Without that, 160 workers
took 5.6 times as long as 40 for as many rounds, and a round of 160 about 11 ms.
"""

from collections.abc import Iterable
import dataclasses
import statistics
import time

from benchmarks import table
from experiments import loads
from experiments import simulation
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.job_placing import placement as placement_module
from marigoldsill.coordination.job_placing import tickets as tickets_module
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.coordination.jobs import orders as orders_module
from marigoldsill.coordination.jobs import worker_refresher
from marigoldsill.coordination.leadership import leases as leases_module
from marigoldsill.coordination.learning import worker_health
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import state_machine
from marigoldsill.state import tables as tables_module

_WORKERS_COUNTS = (40, 160, 300, 1_000)
_BURST_WORKERS_COUNT = 300
_BURST_TASKS_COUNT = 1_000
_BURST_LIMIT_MS = 100.0
_GROWTH_LIMIT_RATIO = 2.0
_EVACUATION_LIMIT_MS = 100.0
_DATA_CENTRES_COUNT = 3
_LEASE_MS = 7_000
_SIMULATION_SIZES = (40, 160)
_SIMULATION_LIMIT_RATIO = 5.0
_SIMULATION_S = 20.0
_ROUNDS_COUNT = 50
_STEP_TASKS_COUNT = 20
_CPU_MILLICORES = 32_000
_GIB = 1 << 30
_IMAGES_COUNT = 10
_POOL = "pool"
_QUEUE = "queue"


def run() -> list[table.Row]:
    """Measures rounds, a burst, an evacuation and simulations of two sizes."""
    rounds_ms = {size: _round_ms(size) for size in _WORKERS_COUNTS}
    simulations_s = {
        size: _simulation_cpu_s(size) for size in _SIMULATION_SIZES
    }
    return [
        *(
            table.Row(
                f"job_rounds: a round with one change, {size} workers",
                value,
                "ms",
            )
            for size, value in rounds_ms.items()
        ),
        table.Row(
            "job_rounds: a round with one change, 1000 workers to 40",
            rounds_ms[_WORKERS_COUNTS[-1]] / rounds_ms[_WORKERS_COUNTS[0]],
            "ratio",
            _GROWTH_LIMIT_RATIO,
            "max",
        ),
        table.Row(
            "job_rounds: a burst of 1000 tasks on 300 workers",
            _burst_ms(),
            "ms",
            _BURST_LIMIT_MS,
            "max",
        ),
        table.Row(
            "job_rounds: the round that evacuates a third of 300 workers",
            _evacuation_ms(),
            "ms",
            _EVACUATION_LIMIT_MS,
            "max",
        ),
        *(
            table.Row(
                f"job_rounds: {_SIMULATION_S:.0f} s of the model, {size} workers",
                value,
                "s",
            )
            for size, value in simulations_s.items()
        ),
        table.Row(
            "job_rounds: the model, 160 workers to 40 with 4 times the jobs",
            simulations_s[_SIMULATION_SIZES[1]]
            / simulations_s[_SIMULATION_SIZES[0]],
            "ratio",
            _SIMULATION_LIMIT_RATIO,
            "max",
        ),
    ]


class _SimulatedLeader:
    """A leader's tables and placement, without replication and agents."""

    def __init__(self, workers_count: int):
        self._tables = tables_module.Tables()
        self._jobs = self._tables.jobs
        self._backlog = backlog_module.Backlog()
        self._urgency = urgency_module.Urgency()
        self._placement = placement_module.Placement(
            interference=interference_model.InterferenceModel(),
            health=worker_health.WorkerHealth(),
            tickets=tickets_module.Tickets(),
        )
        self._views = {view.name: view for view in _make_views(workers_count)}
        self._orders = orders_module.Orders()
        self._refresher = worker_refresher.WorkerRefresher(
            agents=_make_agents(self._views.values()),
            leases=_make_leases(self._views),
            health=worker_health.WorkerHealth(),
            placement=self._placement,
        )
        self._updated_agents = set(self._views)
        self._now_s = 0.0
        queue = ttypes.Queue(
            name=_QUEUE, host="h", path_prefix="/q/", pool=_POOL
        )
        routing = ttypes.Routing(
            version=1,
            queues=[queue],
            pools=[ttypes.Pool(name=_POOL)],
            document=b"1",
        )
        self._apply(replace_routing=ttypes.ReplaceRouting(routing=routing))

    def submit_job(self, job_id: str, step: ttypes.Step) -> None:
        """Submits a job of one step."""
        job = ttypes.Job(job_id=job_id, queue=_QUEUE, command="", steps=[step])
        self._apply(submit_job=ttypes.SubmitJob(job=job))

    def run_round(self) -> list[ttypes.RunGrant]:
        """Processes the changes since the last round and returns the grants."""
        self._now_s += 0.01
        changed_jobs = self._jobs.pop_changed_jobs()
        self._backlog.refresh(self._jobs, changed_jobs, now_s=self._now_s)
        changed_agents = self._updated_agents | self._jobs.pop_changed_agents()
        self._updated_agents = set()
        for agent in changed_agents:
            self._placement.refresh(
                self._jobs, self._views[agent], is_eligible=True
            )
        waiting = self._backlog.rank_steps(
            self._urgency, now_unix_ms=int(self._now_s * 1000)
        )
        return self._placement.place(waiting, now_s=self._now_s)

    def run_evacuation_round(self, data_centre: str) -> list[ttypes.RunGrant]:
        """Evacuates a data centre as a leader does, and returns the grants."""
        evacuation = ttypes.SetEvacuation(data_centre=data_centre, active=True)
        self._apply(set_evacuation=evacuation)
        self._orders.refresh_evacuations(self._tables)
        self._refresher.refresh(self._tables, now_s=self._now_s)
        return self.run_round()

    def apply_grants(self, grants: list[ttypes.RunGrant]) -> None:
        """Applies the grants of a round."""
        self._apply(grant_runs=ttypes.GrantRuns(grants=grants))

    def end_run(self, grant: ttypes.RunGrant) -> None:
        """Ends a granted run."""
        end = ttypes.RunEnd(
            task=grant.task, run=grant.run, kind=ttypes.RunEndKind.STOPPED
        )
        self._apply(record_run_ends=ttypes.RecordRunEnds(ends=[end]))

    def _apply(self, **body: object) -> None:
        command = ttypes.Command(command_id="", proposed_unix_ms=1, **body)
        state_machine.apply(self._tables, command)


def _make_views(count: int) -> list[agents_module.AgentView]:
    return [
        agents_module.AgentView(
            f"a{number}",
            worker=ttypes.PoolWorker(
                worker_id=f"a{number}-1",
                pool=_POOL,
                data_centre=f"d{number % _DATA_CENTRES_COUNT}",
                rack=f"r{number // 12}",
                labels=[],
                capacity=ttypes.Resources(
                    cpu_millicores=_CPU_MILLICORES,
                    memory_bytes=128 * _GIB,
                ),
            ),
        )
        for number in range(count)
    ]


def _make_agents(
    views: Iterable[agents_module.AgentView],
) -> agents_module.Agents:
    """Returns agents that have reported their workers."""
    agents = agents_module.Agents()
    for view in views:
        report = ttypes.AgentReport(
            agent=view.name, incarnation=1, sequence=1, worker=view.worker
        )
        agents.record_report(report, now_s=0.0)
    return agents


def _make_leases(names: Iterable[str]) -> leases_module.LeaseTable:
    leases = leases_module.LeaseTable()
    for name in names:
        leases.renew(name, lease_ms=_LEASE_MS)
    return leases


def _make_step(count: int, **fields: object) -> ttypes.Step:
    values = {
        "resources": ttypes.Resources(
            cpu_millicores=3_500, memory_bytes=6 * _GIB
        ),
        "after": [],
        "best_effort": True,
        "image": "f0",
        "estimated_ms": 4_000,
    }
    return ttypes.Step(tasks_count=count, **(values | fields))


def _make_full_leader(
    workers_count: int,
) -> tuple[_SimulatedLeader, list[ttypes.RunGrant]]:
    """Returns a leader with full workers and waiting jobs, and its grants."""
    leader = _SimulatedLeader(workers_count)
    tasks_count = 9 * workers_count
    grants = []
    for number in range(tasks_count // _STEP_TASKS_COUNT + 1):
        leader.submit_job(
            f"j{number}", _make_step(_STEP_TASKS_COUNT, best_effort=False)
        )
        granted = leader.run_round()
        leader.apply_grants(granted)
        grants += granted
    for number in range(20):
        image = f"f{number % _IMAGES_COUNT}"
        leader.submit_job(
            f"w{number}", _make_step(8, best_effort=False, image=image)
        )
    leader.apply_grants(leader.run_round())
    return leader, grants


def _round_ms(workers_count: int) -> float:
    """Returns the median milliseconds of a round after the end of one run."""
    leader, grants = _make_full_leader(workers_count)
    times_ms = []
    for grant in grants[:_ROUNDS_COUNT]:
        leader.end_run(grant)
        begin_s = time.perf_counter()
        granted = leader.run_round()
        times_ms.append((time.perf_counter() - begin_s) * 1000)
        leader.apply_grants(granted)
    return statistics.median(times_ms)


def _burst_ms() -> float:
    """Returns the milliseconds to grant a burst of best-effort tasks."""
    leader = _SimulatedLeader(_BURST_WORKERS_COUNT)
    leader.apply_grants(leader.run_round())
    for number in range(_BURST_TASKS_COUNT // _STEP_TASKS_COUNT):
        image = f"f{number % _IMAGES_COUNT}"
        leader.submit_job(
            f"b{number}", _make_step(_STEP_TASKS_COUNT, image=image)
        )
    elapsed_ms = granted_count = 0
    while granted_count < _BURST_TASKS_COUNT:
        begin_s = time.perf_counter()
        grants = leader.run_round()
        elapsed_ms += (time.perf_counter() - begin_s) * 1000
        leader.apply_grants(grants)
        granted_count += len(grants)
    return elapsed_ms


def _evacuation_ms() -> float:
    """Returns the milliseconds of the round in which an evacuation begins."""
    leader, _ = _make_full_leader(_BURST_WORKERS_COUNT)
    begin_s = time.perf_counter()
    leader.run_evacuation_round("d0")
    return (time.perf_counter() - begin_s) * 1000


def _simulation_cpu_s(workers_count: int) -> float:
    """Returns the processor seconds of a short simulation."""
    wide = loads.load(loads.find("wide"))
    scale = workers_count / wide.workers_count
    load = dataclasses.replace(
        wide,
        workers_count=workers_count,
        length_s=_SIMULATION_S,
        lasting_jobs_count=round(wide.lasting_jobs_count * scale),
        filling_jobs_per_s=wide.filling_jobs_per_s * scale,
        batch_jobs_per_s=wide.batch_jobs_per_s * scale,
    )
    begin_s = time.process_time()
    simulation.simulate(load, seed=1)
    return time.process_time() - begin_s


if __name__ == "__main__":
    print(table.render(run()), end="")
