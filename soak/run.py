"""One soak: a system, callers, faults by a seed, and what must hold."""

import dataclasses
import pathlib

from soak import callers as callers_module
from soak import faults
from soak import footprint
from soak import injector as injector_module
from soak import owners
from soak import proxy
from tests import one_process
from tests.platform import rules
from tests.platform import system as system_module

WORKERS_COUNT = 3
EDGES_COUNT = 6
_DISKS_COUNT = 3
# After the last fault: leases run out, and work starts again elsewhere.
_SETTLE_LIMIT_S = 60.0


@dataclasses.dataclass(slots=True)
class Result:
    """What one soak showed.

    Attributes:
        seed: Of its faults and callers.
        faults_count: How many faults were planned.
        jobs_count: How many jobs were accepted.
        broken: Promises that were broken.
        processes_count: How many ran at a time at most.
        peak_bytes: How much memory they took at most.
    """

    seed: int
    faults_count: int
    jobs_count: int
    broken: list[str]
    processes_count: int
    peak_bytes: int


def run(
    seed: int,
    folder: pathlib.Path,
    *,
    duration_s: float,
    workers_count: int = WORKERS_COUNT,
    edges_count: int = EDGES_COUNT,
) -> Result:
    """Runs one soak; its logs stay in the folder.

    Args:
        seed: Of its faults and callers.
        folder: For logs and state.
        duration_s: How long faults come.
        workers_count: Workers, with an agent each.
        edges_count: Edge processes, three of them with a disk.
    """
    links = Links()
    system = system_module.System(
        folder,
        disks_count=_DISKS_COUNT,
        plain_edges_count=edges_count - _DISKS_COUNT,
        reach=links.reach,
        advertise=links.advertise,
    )
    links.system = system
    watch = footprint.Footprint(
        lambda: [process.pid for process in list(system.processes.values())]
    )
    try:
        watch.start()
        system.start(workers_count=workers_count)
        plan = faults.draw(
            seed,
            duration_s=duration_s,
            edges=system.members(),
            sides=list(system.workers),
            plain_edges=[
                e for e in system.edges() if e not in system.members()
            ],
        )
        callers = callers_module.Callers(system, seed=seed)
        callers.start()
        injector_module.Injector(system, links.named(), links.ways()).play(plan)
        callers.stop()
        broken = callers.broken + _settle(system, callers)
    finally:
        watch.stop()
        system.stop()
        links.stop()
    broken += _check_journal(system.journal(), callers.jobs)
    accepted = [job for job in callers.jobs if job.accepted]
    return Result(
        seed=seed,
        faults_count=len(plan),
        jobs_count=len(accepted),
        broken=broken,
        processes_count=watch.processes_count,
        peak_bytes=watch.peak_bytes,
    )


class Links:
    """A proxy before each address that a system lets others reach.

    Attributes:
        system: Whose they are.
    """

    def __init__(self):
        self.system: system_module.System | None = None
        self._owners = owners.Owners(self._pids)
        self._by_target: dict[str, proxy.Proxy] = {}

    def reach(self, target: str) -> str:
        """The address of the proxy before an address."""
        if target not in self._by_target:
            self._by_target[target] = proxy.Proxy(target)
        return self._by_target[target].address

    def advertise(self, target: str) -> str:
        """Like `reach`, with the same port, on a host of its own."""
        host, _, port = target.rpartition(":")
        first, second, third, last = host.split(".")
        address = f"{first}.{second}.{int(third) + 1}.{last}:{port}"
        if target not in self._by_target:
            self._by_target[target] = proxy.Proxy(
                target, address=address, name_caller=self._owners.name
            )
        return address

    def named(self) -> dict[str, proxy.Proxy]:
        """The proxies of workers and of edges, by the machine's name."""
        system = self.system
        targets = {name: w.address for name, w in system.workers.items()}
        targets |= {name: system.frontend(name) for name in system.edges()}
        for target in targets.values():
            self.reach(target)
        return {name: self._by_target[t] for name, t in targets.items()}

    def ways(self) -> dict[str, proxy.Proxy]:
        """The proxies between processes, by the edge that is called."""
        by_address = {link.address: link for link in self._by_target.values()}
        names = self.system.edges()
        return {name: by_address[self.system.outside(name)] for name in names}

    def _pids(self) -> dict[str, int]:
        return {n: p.pid for n, p in list(self.system.processes.items())}

    def stop(self) -> None:
        """Ends all of them."""
        for link in self._by_target.values():
            link.stop()


def _settle(
    system: system_module.System, callers: callers_module.Callers
) -> list[str]:
    """Waits until all accepted jobs are over; what is not, or not read."""
    edge = system.edges()[0]

    def all_are_over() -> bool:
        open_jobs = [j for j in callers.jobs if j.accepted and not j.completed]
        states = [callers.look_at(job, edge=edge) for job in open_jobs]
        return all(state in ("completed", "cancelled") for state in states)

    found: list[str] = []
    try:
        limit_s = _SETTLE_LIMIT_S
        one_process.wait_until(all_are_over, limit_s=limit_s, what="the ends")
        one_process.wait_until(
            lambda: callers.read_configuration(edge), what="a read-back"
        )
    except AssertionError as error:
        found.append(str(error))
    return found


def _check_journal(
    lines: list[dict], jobs: list[callers_module.Submitted]
) -> list[str]:
    """Compares what workers did with what callers were told."""
    found = [
        *(f"{task} ran twice at a time" for task in rules.two_at_a_time(lines)),
        *(
            f"{task} ran after its end"
            for task in rules.started_after_done(lines)
        ),
        *(f"{task} ran too early" for task in rules.step_out_of_order(lines)),
        *(f"{t} was renumbered" for t in rules.run_numbers_not_rising(lines)),
    ]
    started = {_job_of(x) for x in lines if x["event"] == "started"}
    done = {x["task"] for x in lines if x.get("how") == "done"}
    for job in jobs:
        if job.refused and job.job_id in started:
            found.append(f"{job.job_id} was refused, but ran")
        done_count = sum(task.startswith(f"{job.job_id}.") for task in done)
        if job.completed and done_count != job.tasks_count:
            found.append(f"{job.job_id} completed with {done_count} tasks done")
    return found


def _job_of(line: dict) -> str:
    return line["task"].partition(".")[0]
