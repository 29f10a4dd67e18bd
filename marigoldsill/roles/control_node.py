"""A process that may replicate the state: forms or joins the group, and serves.

With a data folder it becomes a member of the group. Without one, and until it is a
member, it only refers other processes to the group.
"""

from collections.abc import Sequence
from concurrent import futures
import os
import threading

from marigoldsill import errors
from marigoldsill.coordination.agreement import founding_plan
from marigoldsill.coordination.agreement import peers
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.discovery import entry_registry
from marigoldsill.coordination.discovery import formation_client
from marigoldsill.coordination.discovery import formation_service
from marigoldsill.coordination.discovery import founder_election
from marigoldsill.coordination.discovery import group_directory
from marigoldsill.coordination.discovery import referral_service
from marigoldsill.coordination.discovery import view_exchange
from marigoldsill.coordination.jobs import scheduler as scheduler_module
from marigoldsill.coordination.jobs import scheduling_settings
from marigoldsill.coordination.jobs import service as service_module
from marigoldsill.coordination.leadership import control_link
from marigoldsill.protocol import adviser as adviser_module
from marigoldsill.protocol.generated import Control as ControlThrift
from marigoldsill.protocol.generated import Formation as FormationThrift
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import disk_space
from marigoldsill.transport import logs
from marigoldsill.transport import thrift_server

_CONNECTIONS_COUNT = 1024
# One thread joins the group, or first waits for disk space; one exchanges views.
_POOL_THREADS_COUNT = 2
# Long enough for a machine that is disconnected or frozen for some seconds to keep its
# runs, short enough to restart the runs of a lost machine elsewhere soon.
_LEASE_MS = 7_000
_ELECTION_TIMEOUT_MS = 700
# Interval of checks whether a full disk has space again. A check costs one small write,
# a restart of the process a second of a core.
_DISK_CHECK_INTERVAL_S = 0.5
_DEFAULT_SCHEDULING = scheduling_settings.SchedulingSettings()


class ControlNode:
    """Takes part in control for one process.

    Attributes:
        address: Address that other processes connect to.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        listen_address: str = "",
        data_centre: str,
        data_folder: str,
        first_start: bool,
        seed_addresses: Sequence[str],
        target_voters_count: int,
        job_retention_s: float,
        adviser: adviser_module.Adviser | None = None,
        scheduling: scheduling_settings.SchedulingSettings = _DEFAULT_SCHEDULING,
    ):
        """Creates the services; `start` begins to serve.

        Args:
            name: Unique name of this process.
            address: Address that other processes connect to.
            listen_address: Address to listen on; empty for `address`.
            data_centre: Data centre of this process.
            data_folder: Folder of the durable state; empty to keep no state.
            first_start: Whether to form the group at this start.
            seed_addresses: Addresses of some processes of the group.
            target_voters_count: Number of voters that the group needs before it
                accepts requests; after the settle time it accepts them with fewer.
            job_retention_s: How long the state of an ended job must stay available.
            adviser: Issues the tickets that some queues require; None without one.
            scheduling: The optional parts of the leader's decisions about jobs.
        """
        self.address = address
        self._member = ttypes.Member(
            name=name,
            address=address,
            http_address="",
            data_centre=data_centre,
        )
        self._data_folder = data_folder
        self._target_voters_count = target_voters_count
        self._job_retention_s = job_retention_s
        self._adviser = adviser
        self._scheduling = scheduling
        self._replica: replica_module.Replica | None = None
        self._scheduler: scheduler_module.JobScheduler | None = None
        self._directory = group_directory.GroupDirectory(
            own_address=address, own_view=self._own_view
        )
        self._entries = entry_registry.EntryRegistry()
        self._view_exchange = view_exchange.ViewExchange(
            directory=self._directory,
            entries=self._entries,
            own_address=address,
            seed_addresses=seed_addresses,
        )
        self._formation_service = formation_service.FormationService(
            member=self._member,
            data_folder=data_folder,
            election=founder_election.FounderElection(
                name=name,
                address=address,
                plan=founding_plan.FoundingPlan(data_folder, name=name)
                if data_folder
                else None,
                first_seeds=seed_addresses if first_start else (),
                get_members=lambda: self._directory.newest_view().addresses,
            ),
            seed_addresses=seed_addresses,
            directory=self._directory,
            entries=self._entries,
        )
        self._thrift = thrift_server.ThriftServer(
            address=listen_address or address,
            connections_count=_CONNECTIONS_COUNT,
            name=name,
        )
        self._thrift.add_service(
            formation_client.SERVICE_NAME,
            FormationThrift.Processor(self._formation_service),
        )
        # Agents and entries that have this process as a seed send control requests to
        # it, whether or not it keeps state.
        self._thrift.add_service(
            control_link.SERVICE_NAME,
            ControlThrift.Processor(
                referral_service.ReferralService(
                    referral_address=self._directory.next_control_address
                )
            ),
        )
        self._pool = futures.ThreadPoolExecutor(_POOL_THREADS_COUNT, "joining")
        self._stopping = threading.Event()

    def start(self) -> None:
        """Starts to take part in control."""
        # Before this process can be asked for a vote.
        is_election = self._formation_service.resume_election()
        self._thrift.start()
        self._pool.submit(self._view_exchange.run)
        if not self._data_folder:
            return
        has_space = disk_space.has_free_space(self._data_folder)
        if has_space and not is_election:
            self._start_replica()
            return
        if not has_space:
            logs.event(
                "disk_full",
                level="ERROR",
                folder=self._data_folder,
                reason="does not take part in control until there is space",
            )
        self._pool.submit(self._start_replica_when_possible)

    def _start_replica_when_possible(self) -> None:
        """Waits for disk space, forms the group at a first start, starts the replica."""
        while not disk_space.has_free_space(self._data_folder):
            if self._stopping.wait(_DISK_CHECK_INTERVAL_S):
                return
        try:
            self._formation_service.form_group()
            if not self._stopping.is_set():
                self._start_replica()
        except errors.MarigoldsillError as error:
            # An error in `start` ends the process too; an error on this thread would
            # otherwise go unnoticed.
            _exit_on_error(error)

    def _start_replica(self) -> None:
        """Starts the replica from the state on disk, and the services that use it."""
        replica = replica_module.Replica(
            member=self._member,
            data_folder=self._data_folder,
            settings=replica_module.ReplicaSettings(
                election_timeout_ms=_ELECTION_TIMEOUT_MS,
                voters_count=self._target_voters_count,
            ),
            on_fatal=_exit_on_error,
        )
        self._replica = replica
        self._scheduler = scheduler_module.JobScheduler(
            replica=replica,
            job_retention_s=self._job_retention_s,
            adviser=self._adviser,
            settings=self._scheduling,
        )
        service = service_module.JobService(
            replica=replica,
            lease_ms=_LEASE_MS,
            is_settled=self._is_settled,
            on_change=self._scheduler.wake,
            referral_address=self._directory.next_control_address,
            admission=self._scheduler.admission,
        )
        self._thrift.add_service(
            control_link.SERVICE_NAME, ControlThrift.Processor(service)
        )
        self._thrift.add_service(peers.SERVICE_NAME, replica.processor)
        self._formation_service.replica = self._entries.replica = replica
        replica.start()
        self._scheduler.start(service)
        self._pool.submit(self._formation_service.run)

    def replace_seeds(self, seed_addresses: Sequence[str]) -> None:
        """Replaces the seeds that were given at the start."""
        self._formation_service.replace_seeds(seed_addresses)
        self._view_exchange.replace_seeds(seed_addresses)

    def stop(self) -> None:
        """Stops serving; the state on disk remains."""
        self._stopping.set()
        self._formation_service.stop()
        self._view_exchange.stop()
        if self._scheduler is not None:
            self._scheduler.stop()
        self._thrift.stop()
        if self._replica is not None:
            self._replica.stop()

    def _own_view(self) -> ttypes.GroupView:
        if self._replica is None:
            return ttypes.GroupView(addresses=[])
        return self._replica.group_view()

    def _is_settled(self) -> bool:
        """Whether the group has its voters, or the time to wait for them is over."""
        voters = [m for m in self._replica.tables.members if m.voter]
        return (
            len(voters) >= self._target_voters_count
            or self._formation_service.is_settle_time_over
        )


def _exit_on_error(error: errors.MarigoldsillError) -> None:
    logs.event("disk_failed", level="ERROR", reason=error.message)
    logs.flush()
    os._exit(error.exit_code)
