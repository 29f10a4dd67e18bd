"""Injects planned faults into a system of processes."""

import dataclasses
import heapq
import itertools
import shutil
import signal
import time

from soak import faults
from soak import foreign_heartbeats
from soak import misused_ids
from soak import proxy
from tests.platform import system as system_module


class Injector:
    """Starts and ends faults, for each process only one at a time.

    Attributes:
        started_ns: When each fault started, in nanoseconds of the monotonic clock.
        ended_ns: When each fault ended, likewise.
    """

    def __init__(
        self,
        system: system_module.System,
        proxies: dict[str, proxy.Proxy],
        control_proxies: dict[str, proxy.Proxy],
        proxies_by_machine: dict[str, list[proxy.Proxy]],
    ):
        """Creates an injector without active faults.

        Args:
            system: The system that faults are injected into.
            proxies: Proxies before workers and frontends, by machine.
            control_proxies: Proxies before the addresses that edges advertise to other
                processes, by edge.
            proxies_by_machine: All proxies before addresses of each machine.
        """
        self._system = system
        self._proxies = proxies
        self._control_proxies = control_proxies
        self._proxies_by_machine = proxies_by_machine
        self._heartbeat_senders: dict[
            faults.Fault, foreign_heartbeats.HeartbeatSender
        ] = {}
        self.started_ns: dict[faults.PlannedFault, int] = {}
        self.ended_ns: dict[faults.PlannedFault, int] = {}
        # The fault whose end lets a process run again, by process.
        self._faults_by_process: dict[str, faults.Fault] = {}

    def inject(self, plan: list[faults.PlannedFault]) -> None:
        """Injects the faults of a plan; returns once all processes run again."""
        started_s = time.monotonic()
        sequence = itertools.count()
        pending = [(item.at_s, next(sequence), item, True) for item in plan]
        heapq.heapify(pending)
        while pending:
            at_s, _, item, is_start = heapq.heappop(pending)
            wait_s = started_s + at_s - time.monotonic()
            time.sleep(max(0.0, wait_s))
            # A slow end of a fault delays all later ones by as much, because disks
            # must be lost one at a time.
            started_s += max(0.0, -wait_s)
            if not is_start:
                self._end_fault(item.fault)
                self.ended_ns[item] = time.monotonic_ns()
                continue
            item = self._name_leader(item)
            if item is not None and self._start_fault(item.fault):
                self.started_ns[item] = time.monotonic_ns()
                end = (at_s + item.duration_s, next(sequence), item, False)
                heapq.heappush(pending, end)

    def _name_leader(
        self, item: faults.PlannedFault
    ) -> faults.PlannedFault | None:
        """Returns a fault with the current leader as its process; None if there is none."""
        if not isinstance(item.fault, faults.LeaderKill):
            return item
        leader = self._system.find_current_leader()
        if leader is None:
            return None
        return dataclasses.replace(item, fault=faults.ProcessKill(leader))

    def _start_fault(self, fault: faults.Fault) -> bool:
        """Starts a fault; returns False if its process has another one."""
        match fault:
            case faults.LinkFault(name=name, mode=mode):
                self._proxies[name].set_mode(mode)
            case faults.ControlLinkFault(mode=mode):
                self._set_control_links(fault, mode)
            case faults.WorkerCrash(worker=worker, keeps_id=keeps_id):
                self._system.workers[worker].crash(keeps_id=keeps_id)
            case faults.CapacityReduction(
                worker=worker, cpu_millicores=cpu_millicores
            ):
                self._system.workers[worker].resize(cpu_millicores)
            case faults.DelayedCalls(worker=worker, call=call, delay_s=delay_s):
                worker_faults = self._system.workers[worker].faults
                worker_faults.delayed_calls = {call}
                worker_faults.call_delay_s = delay_s
            case faults.RefusedCalls(worker=worker, share=share, status=status):
                worker_faults = self._system.workers[worker].faults
                worker_faults.refused_share = share
                worker_faults.refused_status = status
            case faults.BadWorker(worker=worker):
                self._set_bad_shares(
                    worker, fault.refused_share, fault.failed_share
                )
            case faults.ConnectionReset(names=names):
                for name in names:
                    for each in self._proxies_by_machine[name]:
                        each.reset_connections()
            case faults.ForeignHeartbeats(worker=worker, seed=seed):
                address = self._system.control_address(worker)
                self._heartbeat_senders[fault] = (
                    foreign_heartbeats.HeartbeatSender(address, seed=seed)
                )
                self._heartbeat_senders[fault].start()
            case faults.MisusedId(worker=worker, seed=seed):
                self._heartbeat_senders[fault] = misused_ids.MisusedIdSender(
                    self._system.control_address(worker),
                    worker=self._system.workers[worker],
                    seed=seed,
                )
                self._heartbeat_senders[fault].start()
            case faults.SeedsChange(names=names):
                self._system.change_seeds(*names)
            case faults.PowerLoss() | faults.GroupTermination():
                self._start_group_fault(fault)
            case _:
                return self._start_process_fault(fault)
        return True

    def _set_bad_shares(
        self, worker: str, refused_share: float, failed_share: float
    ) -> None:
        worker_faults = self._system.workers[worker].faults
        worker_faults.refused_starts_share = refused_share
        worker_faults.failed_share = failed_share

    def _set_control_links(
        self, fault: faults.ControlLinkFault, mode: proxy.Mode
    ) -> None:
        directions = [(fault.callers, fault.targets)]
        if fault.both_ways:
            directions.append((fault.targets, fault.callers))
        for callers, targets in directions:
            for name in targets:
                if name in self._control_proxies:
                    self._control_proxies[name].set_mode(mode, callers=callers)

    def _start_process_fault(self, fault: faults.Fault) -> bool:
        if fault.process in self._faults_by_process:
            return False
        self._faults_by_process[fault.process] = fault
        process = self._system.processes[fault.process]
        match fault:
            case faults.ProcessKill() | faults.DiskLoss():
                process.kill()
            case faults.ProcessTermination():
                process.send(signal.SIGTERM)
            case faults.ProcessPause():
                process.send(signal.SIGSTOP)
            case faults.ProcessReload() if "event=started" in process.text():
                # SIGHUP would end a process that is still starting, and nothing
                # here would start it again.
                process.send(signal.SIGHUP)
        return True

    def _start_group_fault(
        self, fault: faults.PowerLoss | faults.GroupTermination
    ) -> None:
        """Stops processes, replacing any other faults of theirs."""
        for name in fault.processes:
            self._faults_by_process[name] = fault
            process = self._system.processes[name]
            match fault:
                case faults.PowerLoss():
                    process.send(signal.SIGKILL)
                    if name in self._system.workers:
                        self._system.workers[name].crash()
                case faults.GroupTermination():
                    process.send(signal.SIGTERM)
                    process.send(signal.SIGCONT)

    def _end_fault(self, fault: faults.Fault) -> None:
        match fault:
            case faults.LinkFault(name=name):
                self._proxies[name].set_mode(proxy.PassThrough())
            case faults.ControlLinkFault():
                self._set_control_links(fault, proxy.PassThrough())
            case faults.DelayedCalls(worker=worker):
                self._system.workers[worker].faults.delayed_calls = set()
            case faults.RefusedCalls(worker=worker):
                self._system.workers[worker].faults.refused_share = 0.0
            case faults.BadWorker(worker=worker):
                self._set_bad_shares(worker, 0.0, 0.0)
            case faults.CapacityReduction(worker=worker):
                self._system.workers[worker].resize(faults.CAPACITY_MILLICORES)
            case faults.ForeignHeartbeats() | faults.MisusedId():
                self._heartbeat_senders.pop(fault).stop()
            case (
                faults.WorkerCrash()
                | faults.SeedsChange()
                | faults.ConnectionReset()
            ):
                pass
            case faults.PowerLoss(processes=names):
                self._end_group_fault(fault, names)
            case faults.GroupTermination(processes=names):
                self._end_group_fault(fault, names)
            case _ if self._faults_by_process.get(fault.process) is fault:
                self._end_process_fault(fault)
                del self._faults_by_process[fault.process]

    def _end_group_fault(
        self, fault: faults.Fault, names: tuple[str, ...]
    ) -> None:
        """Starts the processes that no later fault has stopped."""
        for name in names:
            if self._faults_by_process.get(name) is fault:
                self._system.processes[name].wait()
                self._system.restart(name)
                del self._faults_by_process[name]

    def _end_process_fault(self, fault: faults.Fault) -> None:
        name = fault.process
        match fault:
            case faults.ProcessPause():
                self._system.processes[name].send(signal.SIGCONT)
            case faults.ProcessTermination():
                self._system.processes[name].wait()
                self._system.restart(name)
            case faults.ProcessKill():
                self._system.restart(name)
            case faults.DiskLoss():
                shutil.rmtree(self._system.data_folder(name))
                self._system.restart(name)
            case faults.ProcessReload():
                pass
