"""Has planned faults happen to a system of processes."""

import heapq
import itertools
import shutil
import signal
import time

from soak import faults
from soak import proxy
from tests.platform import system as system_module

_LATE_S = 0.3


class Injector:
    """Begins and ends faults; what overlaps on one process waits."""

    def __init__(
        self,
        system: system_module.System,
        links: dict[str, proxy.Proxy],
    ):
        self._system = system
        self._links = links
        # When faults began and ended, in nanoseconds of the monotonic clock.
        self.begun_ns: dict[faults.Planned, int] = {}
        self.ended_ns: dict[faults.Planned, int] = {}
        self._busy: set[str] = set()

    def play(self, plan: list[faults.Planned]) -> None:
        """Plays a plan to its end; everything runs again afterwards."""
        begun_s = time.monotonic()
        order = itertools.count()
        due = [(item.at_s, next(order), item, True) for item in plan]
        heapq.heapify(due)
        while due:
            at_s, _, item, begins = heapq.heappop(due)
            time.sleep(max(0.0, begun_s + at_s - time.monotonic()))
            if not begins:
                self._end(item.fault)
                self.ended_ns[item] = time.monotonic_ns()
            elif self._begin(item.fault):
                self.begun_ns[item] = time.monotonic_ns()
                end = (at_s + item.lasts_s, next(order), item, False)
                heapq.heappush(due, end)

    def _begin(self, fault: faults.Fault) -> bool:
        """Begins a fault; False if its process has another one."""
        match fault:
            case faults.Link(name=name, mode=mode):
                self._links[name].set(mode)
            case faults.Reborn(worker=worker):
                self._system.workers[worker].be_reborn()
            case faults.Disobedient(worker=worker, call=call):
                worker_faults = self._system.workers[worker].faults
                worker_faults.unanswered = {call}
                worker_faults.late_s = _LATE_S
            case _:
                return self._begin_process(fault)
        return True

    def _begin_process(self, fault: faults.Fault) -> bool:
        if fault.process in self._busy:
            return False
        self._busy.add(fault.process)
        process = self._system.processes[fault.process]
        match fault:
            case faults.Killed() | faults.DiskLost():
                process.kill()
            case faults.Stopped():
                process.send(signal.SIGTERM)
            case faults.Paused():
                process.send(signal.SIGSTOP)
            case faults.Reloaded():
                process.send(signal.SIGHUP)
        return True

    def _end(self, fault: faults.Fault) -> None:
        match fault:
            case faults.Link(name=name):
                self._links[name].set(proxy.Through())
            case faults.Disobedient(worker=worker):
                self._system.workers[worker].faults.unanswered = set()
            case faults.Reborn():
                pass
            case _:
                self._end_process(fault)
                self._busy.discard(fault.process)

    def _end_process(self, fault: faults.Fault) -> None:
        name = fault.process
        match fault:
            case faults.Paused():
                self._system.processes[name].send(signal.SIGCONT)
            case faults.Stopped():
                self._system.processes[name].wait()
                self._system.start_again(name)
            case faults.Killed():
                self._system.start_again(name)
            case faults.DiskLost():
                shutil.rmtree(self._system.data_folder(name))
                self._system.start_again(name)
            case faults.Reloaded():
                pass
