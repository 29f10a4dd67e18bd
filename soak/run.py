"""Runs one soak: a system under a workload and faults, and its invariants."""

import contextlib
import dataclasses
import pathlib
import random
import re
import time

from soak import downtimes
from soak import gang_jobs
from soak import history as history_module
from soak import injector as injector_module
from soak import invariants
from soak import leaving_clients
from soak import loss_jobs
from soak import plans
from soak import proxy_registry
from soak import recorded_ends
from soak import resource_usage
from soak import time_spans
from soak import workload as workload_module
from tests import one_process
from tests.platform import system as system_module

WORKERS_COUNT = 3
EDGES_COUNT = 6
_DISKS_COUNT = 3
# The workers take turns; the last data centre is evacuated from time to time.
_DATA_CENTRES = ("z1", "z1", "z2")
# Time after the last fault for leases to expire and tasks to start elsewhere.
_SETTLE_LIMIT_S = 60.0
_READ_LIMIT_S = 30.0
_GRANT = re.compile(r" event=run_granted .*? task=(\S+) run=(\d+) agent=(\S+)")


@dataclasses.dataclass(slots=True)
class SoakResult:
    """The result of one soak.

    Attributes:
        seed: The seed of the faults and the workload.
        faults_count: The number of planned faults.
        jobs_count: The number of accepted jobs.
        violations: Descriptions of the violated invariants.
        folder: The folder of the logs.
        replay_arguments: The arguments that run the soak again.
        longest_downtime_s: The longest downtime of a long-running task that no
            fault explains.
        processes_count: The maximum number of processes.
        peak_bytes: The maximum total memory of the processes.
    """

    seed: int
    faults_count: int
    jobs_count: int
    violations: list[str]
    folder: pathlib.Path
    replay_arguments: str
    longest_downtime_s: float
    processes_count: int
    peak_bytes: int

    def report(self) -> str:
        """Returns the violations, how to run the soak again, and where the logs are."""
        return "\n".join(
            [
                *(f"  {line}" for line in self.violations),
                f"  again: python -m soak {self.replay_arguments}",
                f"  logs and the workers' journal: {self.folder}",
                "  what happened to a job or task: "
                f"marigoldsill explain-logs ID {self.folder}/*.log",
            ]
        )


def run(
    seed: int,
    folder: pathlib.Path,
    *,
    duration_s: float,
    workers_count: int = WORKERS_COUNT,
    edges_count: int = EDGES_COUNT,
    has_series: bool = False,
    has_losses: bool = False,
    has_misbehaviour: bool = False,
) -> SoakResult:
    """Runs one soak; the logs stay in the folder.

    Args:
        seed: The seed of the faults and the workload.
        folder: The folder for logs and state.
        duration_s: How long faults are injected.
        workers_count: The number of workers, each with an agent.
        edges_count: The number of edge processes, three of which have a disk.
        has_series: Whether series of faults come beside the others.
        has_losses: Whether workers are lost in series, beside jobs for which that
            matters.
        has_misbehaviour: Whether there are also clients that leave before an answer,
            bad workers and heartbeats of other writers under workers' ids.
    """
    proxies = proxy_registry.ProxyRegistry()
    system = system_module.System(
        folder,
        stateful_edges_count=_DISKS_COUNT,
        stateless_edges_count=edges_count - _DISKS_COUNT,
        data_centres=_DATA_CENTRES,
        proxy_address=proxies.proxy_address,
        advertise=proxies.advertise,
        # Half of the soaks have workers that can restart under their id.
        workers_send_born=seed % 2 == 1,
    )
    proxies.system = system
    monitor = resource_usage.ResourceMonitor(
        lambda: [process.pid for process in list(system.processes.values())]
    )
    try:
        monitor.start()
        system.start(workers_count=workers_count)
        plan = plans.draw_plan(
            seed,
            duration_s,
            system,
            has_series=has_series,
            has_losses=has_losses,
            has_misbehaviour=has_misbehaviour,
        )
        workload = workload_module.Workload(
            system,
            seed=seed,
            evacuated_data_centre=_DATA_CENTRES[-1],
            clients=_further_clients(
                system,
                has_losses=has_losses,
                has_misbehaviour=has_misbehaviour,
            ),
        )
        workload.start()
        injector = injector_module.Injector(
            system,
            proxies.named_proxies(),
            proxies.control_proxies(),
            proxies.proxies_by_machine(),
        )
        injector.inject(plan)
        workload.stop()
        wait_until_settled(system, workload)
        ended_ns = time.monotonic_ns()
    finally:
        monitor.stop()
        system.stop()
        proxies.stop()
    clock_offset_ns = time.time_ns() - time.monotonic_ns()
    history = history_module.History(
        lines=[x for x in system.read_journal() if x["at_ns"] <= ended_ns],
        jobs=workload.jobs,
        injected_faults=history_module.injected_faults(
            injector.started_ns, injector.ended_ns
        ),
        grants=read_grants(folder),
        members=system.member_names(),
        machines={w.address: name for name, w in system.workers.items()},
        evacuations=workload.evacuations,
        data_centres={
            name: system.data_centre(name) for name in system.workers
        },
        failures_ns=recorded_ends.read_failures(
            folder, clock_offset_ns=clock_offset_ns
        ),
        heartbeat_refusals={
            name: [time_spans.Span(*x) for x in worker.heartbeat_refusals_ns]
            for name, worker in system.workers.items()
        },
        ended_ns=ended_ns,
    )
    ends = recorded_ends.read(folder, clock_offset_ns=clock_offset_ns)
    return SoakResult(
        seed=seed,
        faults_count=len(plan),
        jobs_count=sum(job.accepted for job in workload.jobs),
        violations=[
            *workload.violations,
            *invariants.violations(history),
            *recorded_ends.violations(history, ends),
        ],
        folder=folder,
        replay_arguments=plans.replay_arguments(
            seed,
            duration_s,
            workers_count,
            edges_count,
            has_series=has_series,
            has_losses=has_losses,
            has_misbehaviour=has_misbehaviour,
        ),
        longest_downtime_s=max(
            (
                downtime.duration_s
                for _, downtime in downtimes.unexplained_downtimes(history)
            ),
            default=0.0,
        ),
        processes_count=monitor.processes_count,
        peak_bytes=monitor.peak_bytes,
    )


def _further_clients(
    system: system_module.System, *, has_losses: bool, has_misbehaviour: bool
) -> list[tuple[float, workload_module.Act]]:
    sources = [*loss_jobs.SOURCES] if has_losses else []
    if has_misbehaviour:
        sources.append(gang_jobs.source(list(system.workers)))
    return [
        *((s, workload_module.submitter(draw)) for s, draw in sources),
        *(leaving_clients.CLIENTS if has_misbehaviour else ()),
    ]


def wait_until_settled(
    system: system_module.System, workload: workload_module.Workload
) -> None:
    """Waits until all jobs are in their expected states, up to a limit.

    Jobs that are not by then violate invariants.
    """
    edge = system.running_edges()[0]
    numbers = random.Random(0)

    def is_settled() -> bool:
        running = {
            t for w in system.workers.values() for t in w.running_tasks()
        }
        for job in workload.jobs:
            if job.cancelling and not job.cancel_acknowledged_ns:
                workload.cancel(job, numbers)
            must_check = job.is_unfinished or not running.issuperset(
                job.expected_running_tasks()
            )
            if must_check and not workload.check_job(job, edge=edge):
                # The next call would wait as long, so check the time limit first.
                return False
        long_running = {
            t for job in workload.jobs for t in job.expected_running_tasks()
        }
        ended = {
            t for j in workload.jobs if j.cancelling for t in j.task_names()
        }
        return (
            long_running <= running
            and not ended & running
            and not any(job.is_unfinished for job in workload.jobs)
        )

    with contextlib.suppress(AssertionError):
        one_process.wait_until(is_settled, limit_s=_SETTLE_LIMIT_S)
    try:
        one_process.wait_until(
            lambda: workload.read_configuration(edge),
            limit_s=_READ_LIMIT_S,
            what="a read-back",
        )
    except AssertionError as error:
        workload.violations.append(str(error))


def read_grants(folder: pathlib.Path) -> list[history_module.Grant]:
    """Returns the runs that leaders granted, from the logs of all processes."""
    return [
        history_module.Grant(task, int(number), agent)
        for path in folder.glob("*.log")
        for task, number, agent in _GRANT.findall(
            path.read_text(errors="replace")
        )
    ]
