"""Reports what became of an agent's runs, each once that is certain."""

from marigoldsill.coordination.runs import inherited_runs
from marigoldsill.coordination.runs import run_events
from marigoldsill.coordination.runs import run_operations
from marigoldsill.protocol import worker_interface
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import failpoints
from marigoldsill.transport import logs

_END_KIND_BY_STATE = {
    "completed": ttypes.RunEventKind.COMPLETED,
    "failed": ttypes.RunEventKind.FAILED,
    "stopped": ttypes.RunEventKind.STOPPED,
}


def is_listed_end(event: ttypes.RunEvent) -> bool:
    """Whether an event is the end of a run that its worker listed as ended."""
    return event.kind in _END_KIND_BY_STATE.values()


class RunReporter:
    """Reports the events of the runs of one worker.

    Attributes:
        listing_began_ns: When the worker's last list was requested, on the monotonic
            clock.
    """

    def __init__(
        self,
        *,
        outbox: run_events.EventOutbox,
        operations: run_operations.RunOperations,
        inherited: inherited_runs.InheritedRuns,
    ):
        """Initializes the reporter.

        Args:
            outbox: Sends the events.
            operations: The operations on the runs.
            inherited: The runs that an earlier agent may have started.
        """
        self._outbox = outbox
        self._operations = operations
        self._inherited = inherited
        self.listing_began_ns = 0

    def report(
        self, run: run_events.RunId, kind: ttypes.RunEventKind, detail: str
    ) -> None:
        """Reports an event of a run."""
        logs.event(
            "run_reported",
            task=run.task,
            epoch=run.epoch,
            kind=ttypes.RunEventKind(kind).name.lower(),
            reason=detail,
        )
        self._outbox.add(
            ttypes.RunEvent(
                task=run.task, epoch=run.epoch, kind=kind, detail=detail
            )
        )

    def report_lost(self, run: run_events.RunId, detail: str) -> None:
        """Reports an unlisted run as lost, once it can no longer start."""
        if run in self._operations.unconfirmed_starts():
            return
        if run in self._inherited and not self._are_inherited_settled:
            return
        self.report(run, ttypes.RunEventKind.LOST, detail)

    def report_end(
        self, run: run_events.RunId, task: worker_interface.PlatformTask
    ) -> None:
        """Reports the end of a run, and forgets the run once that is recorded."""
        if self._outbox.has_ended(run):
            if not self._outbox.has_pending(run) and not self._may_start_late(
                run
            ):
                self._operations.forget(run)
            return
        failpoints.reach("end.before")
        self._outbox.add(
            ttypes.RunEvent(
                task=run.task,
                epoch=run.epoch,
                kind=_END_KIND_BY_STATE[task.state],
                checkpoint_id=task.checkpoint_id,
                worked_ms=task.checkpoint_worked_ms,
                detail=task.detail,
            )
        )
        failpoints.reach("end.reported")

    def _may_start_late(self, run: run_events.RunId) -> bool:
        """Whether a request may start an ended run again unless it is listed."""
        return (
            not self._are_inherited_settled
            or self._operations.has_unanswered_start(run)
        )

    @property
    def _are_inherited_settled(self) -> bool:
        return self._inherited.is_settled(at_ns=self.listing_began_ns)
