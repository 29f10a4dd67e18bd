"""Changes made by applied commands, collected for the leader's decisions."""

import dataclasses

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import state_machine


@dataclasses.dataclass(slots=True)
class ChangeSet:
    """Names of changed workers and tasks; at most as many as are in the state.

    Attributes:
        workers: Workers that changed, or whose runs changed.
        tasks: Tasks that changed or were removed.
        has_confirmed_plan: Whether a plan was confirmed.
    """

    workers: set[str] = dataclasses.field(default_factory=set)
    tasks: set[str] = dataclasses.field(default_factory=set)
    has_confirmed_plan: bool = False

    def add(
        self, command: ttypes.Command, *, workers: set[str], tasks: set[str]
    ) -> None:
        """Adds the changes made by one applied command.

        Args:
            command: The command.
            workers: Workers that it changed, or whose runs it changed.
            tasks: Tasks that it changed or removed.
        """
        self.workers |= workers
        self.tasks |= tasks
        match state_machine.body_of(command):
            case ttypes.PutWorker(worker=worker):
                self.workers.add(worker.name)
            case ttypes.ConfirmPlan():
                self.has_confirmed_plan = True
