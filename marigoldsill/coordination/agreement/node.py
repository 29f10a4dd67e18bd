"""The components of one member on its data folder, and their tasks."""

from collections.abc import Callable
from concurrent import futures
import threading

from marigoldsill import errors
from marigoldsill.coordination.agreement import applier
from marigoldsill.coordination.agreement import election
from marigoldsill.coordination.agreement import group
from marigoldsill.coordination.agreement import log_receiver
from marigoldsill.coordination.agreement import peer_task
from marigoldsill.coordination.agreement import peers
from marigoldsill.coordination.agreement import proposals
from marigoldsill.coordination.agreement import replication
from marigoldsill.coordination.agreement import storage as storage_module
from marigoldsill.coordination.agreement import ticker
from marigoldsill.state import files as files_module
from marigoldsill.transport import network_partitions

_TASKS_COUNT = 4
# How long a stopping leader waits until its peers have its resignation: some round
# trips with a sync. Peers without it wait for an election timeout.
_TRANSFER_LIMIT_S = 0.2


class Node:
    """Creates the components of one member and runs their tasks."""

    def __init__(
        self,
        *,
        name: str,
        files: files_module.Files,
        settings: group.ReplicaSettings,
        on_fatal: Callable[[errors.StorageError], None],
        partitions: network_partitions.NetworkPartitions | None,
    ):
        storage = storage_module.open_storage(files, name=name)
        self.files = files
        self.state = applier.AppliedState(storage.tables)
        self.group = group.Group(
            name=name,
            settings=settings,
            log=storage.log,
            votes=storage.votes,
            snapshots=storage.snapshots,
            membership=storage.membership,
            applied_index=storage.applied_index,
            on_fatal=on_fatal,
        )
        self.election = election.Election(self.group)
        self.replication = replication.Replication(
            self.group, partitions=partitions
        )
        self.applier = applier.Applier(
            self.group,
            self.state,
            self.replication,
            last_index=storage.applied_index,
        )
        self.log_receiver = log_receiver.LogReceiver(
            self.group, self.election, self.replication, self.applier
        )
        self.proposals = proposals.Proposals(self.group, self.replication)
        self._ticker = ticker.Ticker(
            self.group, self.election, self.replication
        )
        self._stopped = threading.Event()
        self._pool = futures.ThreadPoolExecutor(_TASKS_COUNT, name)
        self._on_tick: Callable[[], None] = lambda: None

    def start(self, on_tick: Callable[[], None]) -> None:
        """Starts the tasks.

        Args:
            on_tick: Called several times per heartbeat interval, in its own task.
        """
        self._on_tick = on_tick
        with self.group.lock:
            self.replication.start(self._run_peer)
            if self.group.is_voter and len(self.group.membership.voters) == 1:
                self._ticker.start_election()
        for task in (
            self._run_ticker,
            self._sync_log,
            self.applier.run,
            self._run_on_tick,
        ):
            self._pool.submit(self.group.run_task, task)

    def stop(self) -> None:
        """Stops the tasks, announces a successor if leading, and closes the files."""
        with self.group.lock:
            is_leader = self.group.role is group.Role.LEADER
            if is_leader:
                self.group.resigned_term = self.group.term
                self.group.successor = self.replication.choose_successor()
            self.group.stopping = True
            self.group.step_down(term=self.group.term, reason="stopping")
            self.group.notify_all()
            if self.group.successor:
                self.group.work_available.wait_for(
                    self._has_announced_transfer, _TRANSFER_LIMIT_S
                )
        self._stopped.set()
        self.replication.stop()
        self._pool.shutdown(wait=True)
        self.applier.stop()
        self.files.close()

    def _has_announced_transfer(self) -> bool:
        return all(
            peer.is_transfer_announced
            for peer in self.replication.peers.values()
            if peer.member.voter
        )

    def _run_peer(self, peer: peers.Peer) -> None:
        task = peer_task.PeerTask(
            group=self.group,
            peer=peer,
            election=self.election,
            replication=self.replication,
        )
        self.group.run_task(task.run)

    def _run_ticker(self) -> None:
        while not self._stopped.wait(self._ticker.interval_s):
            self._ticker.tick()

    def _run_on_tick(self) -> None:
        while not self._stopped.wait(self._ticker.interval_s):
            self._on_tick()

    def _sync_log(self) -> None:
        log = self.group.log
        while True:
            with self.group.lock:
                self.group.work_available.wait_for(
                    lambda: (
                        self.group.stopping
                        or log.durable_index < log.last_index
                    )
                )
                if self.group.stopping:
                    return
            log.sync()
            with self.group.lock:
                self.replication.advance_commit()
