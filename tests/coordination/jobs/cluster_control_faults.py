"""Faults of the control processes of the cluster model."""

from collections.abc import Callable
import contextlib

from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import cluster_model
from tests.coordination.jobs import model_control

# Whether a proposal is of a certain kind.
IsAwaited = Callable[[ttypes.Command], bool]


class ControlFaults(cluster_model.Cluster):
    """A cluster in which faults of control can be brought about."""

    def elect(self, name: str, *, keeps_logged: bool) -> None:
        """Begins a term of a control process."""
        self.counts["terms"] += 1
        self.group.elect(self.controls[name].replica, keeps_logged=keeps_logged)

    def change_leader(self, *, keeps_logged: bool) -> None:
        """Begins a term of the control process that does not lead."""
        leader = self.leader.replica.member.name
        self.elect(
            next(name for name in self.controls if name != leader),
            keeps_logged=keeps_logged,
        )

    def restart_control(self, name: str) -> None:
        """Starts a control process anew, from a snapshot, after it lost any lead."""
        if self.leader is self.controls[name]:
            self.change_leader(keeps_logged=True)
        self.controls[name].stop()
        self._start_control(name)

    def conclude_end(
        self,
        position: int,
        kind: ttypes.RunEndKind = ttypes.RunEndKind.LOST,
    ) -> None:
        """Lets the leader record an end of a run that may be on its worker."""
        with self.leader.replica.lock:
            runs = self.leader.replica.tables.jobs.runs_by_agent
            keys = [key for each in runs.values() for key in each]
        if not keys:
            return
        task, run = key = keys[position % len(keys)]
        is_running = any(key in each.running for each in self.workers.values())
        if not is_running:
            # Its start may be under way, and would begin a task that is done.
            kind = ttypes.RunEndKind.LOST
        detail = model_control.CONCLUDED
        end = ttypes.RunEnd(task=task, run=run, kind=kind, detail=detail)
        self.counts["ends concluded early"] += 1
        self.counts["ends concluded of a run on its worker"] += is_running
        with contextlib.suppress(*cluster_model.CONTROL_ERRORS):
            self.leader.jobs.service.propose(
                record_run_ends=ttypes.RecordRunEnds(ends=[end])
            )

    def evacuate(self, name: str, *, duration_s: float) -> None:
        """Evacuates the data centre of an agent for a time."""
        self.counts["evacuations"] += 1
        self._set_evacuation(name, is_active=True)
        self.end_later(
            duration_s, lambda: self._set_evacuation(name, is_active=False)
        )

    def end_evacuations(self) -> None:
        """Ends the evacuations of all data centres."""
        evacuated = set(self.leader.replica.tables.evacuated_data_centres)
        for name in self.names:
            if cluster_model.data_centre_of(name) in evacuated:
                self._set_evacuation(name, is_active=False)

    def _set_evacuation(self, name: str, *, is_active: bool) -> None:
        evacuation = ttypes.SetEvacuation(
            data_centre=cluster_model.data_centre_of(name), active=is_active
        )
        command_id = f"evacuation {len(self.group.committed)}"
        with contextlib.suppress(*cluster_model.CONTROL_ERRORS):
            self.leader.jobs.service.set_evacuation(evacuation, command_id)

    def lose_proposal(
        self, is_awaited: IsAwaited = model_control.is_any
    ) -> None:
        """Leaves the outcome of the leader's next proposal of a kind unknown."""
        self.counts["proposals of unknown outcome"] += 1
        self.group.is_awaited = is_awaited
        self.group.is_next_unknown = True

    def lose_term(self, *, rounds_count: int, returns: bool) -> None:
        """Lets another process lead for some rounds.

        Args:
            rounds_count: How many rounds all run in turn.
            returns: Whether the process that led before leads again then.
        """
        self.counts["terms lost before a proposal"] += 1
        name = self.leader.replica.member.name
        self.change_leader(keeps_logged=True)
        self.run_in_turn(rounds_count=rounds_count, pause_s=0.3)
        if returns:
            self.elect(name, keeps_logged=True)
            self.run_in_turn(rounds_count=1, pause_s=0.3)

    def call_before_proposal(
        self, is_awaited: IsAwaited, action: Callable[[], None]
    ) -> None:
        """Calls an action once before the next proposal of a kind."""
        self.group.is_awaited = is_awaited
        self.group.before_proposal = action

    def end_later(self, duration_s: float, end: Callable[[], None]) -> None:
        """Ends a fault after a time."""
        self._fault_ends.append((self._now_s + duration_s, end))
