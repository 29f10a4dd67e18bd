"""What an agent knows: its worker, lease, orders, held runs and unreported ends."""

import math
import threading

from marigoldsill.coordination.held_runs import held_runs
from marigoldsill.coordination.job_agent import lease as lease_module
from marigoldsill.coordination.job_agent import run_orders
from marigoldsill.coordination.job_agent import unreported_ends
from marigoldsill.coordination.job_agent import worker_clock
from marigoldsill.coordination.job_agent import worker_runs
from marigoldsill.coordination.worker_incarnations import departures
from marigoldsill.coordination.worker_incarnations import incarnations
from marigoldsill.coordination.worker_incarnations import late_calls
from marigoldsill.coordination.worker_incarnations import late_starts
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock


class AgentRecord:
    """What an agent's threads know; `changed` guards every field.

    Attributes:
        changed: Notified on every change.
        worker_clock: The worker's clock.
        late_calls: Calls that may have an effect on a later incarnation.
        departures: Incarnations that were deregistered.
        worker: The worker, once it has answered; None before.
        lease: The newest lease.
        term: The highest term of a leader that is known.
        held: The runs that the worker may hold.
        run_orders: The orders of the leader.
        runs: Samples and quotas of the runs on the worker.
        unreported_ends: Ends to report now or later.
        listed_end_number: Ends up to this number have been read in listings.
        acknowledged_end_number: Ends up to this number are recorded by control.
        last_answer_s: When the worker listed its runs last, or else when the agent
            began.
        is_stopping: Whether the agent is stopping.
        incarnations: The incarnations of the worker that are announced or have ended.
    """

    def __init__(
        self,
        *,
        announcement_age_limit_s: float = math.inf,
        lease_limit_s: float = 6.0,
    ):
        """Initializes the state without a worker.

        Args:
            announcement_age_limit_s: Maximum age of the capacity for a start.
            lease_limit_s: The longest lease that the worker accepts.
        """
        effect_limit_s = late_calls.effect_limit_s(lease_limit_s)
        self.changed = threading.Condition()
        self._announcement_age_limit_s = announcement_age_limit_s
        self._lease_limit_s = lease_limit_s
        self.worker_clock = worker_clock.WorkerClock()
        self.late_calls = late_calls.LateCalls(effect_limit_s=effect_limit_s)
        self.departures = departures.Departures()
        self.worker: ttypes.PoolWorker | None = None
        self.lease = lease_module.Lease()
        self.term = 0
        self.held = held_runs.HeldRuns()
        self.run_orders = run_orders.RunOrders(self.held)
        self.runs = worker_runs.WorkerRuns(self.run_orders, self.held)
        self.unreported_ends = unreported_ends.UnreportedEnds(
            effect_limit_s=effect_limit_s
        )
        self.listed_end_number = 0
        self.acknowledged_end_number = 0
        self.last_answer_s = clock.now_s()
        self.is_stopping = False
        self.incarnations = incarnations.Incarnations()

    @property
    def worker_id(self) -> str:
        """The incarnation of the worker that answers, or empty."""
        return "" if self.worker is None else self.worker.worker_id

    @property
    def orders(self) -> dict[task_names.RunKey, ttypes.RunOrder]:
        """The orders by (task, run)."""
        return self.run_orders.by_run

    @property
    def ends(self) -> dict[task_names.RunKey, ttypes.RunEnd]:
        """The ends to report now, by (task, run)."""
        return self.unreported_ends.by_run

    @property
    def late_starts(self) -> late_starts.LateStarts:
        """Runs that a call meant for an earlier incarnation may begin."""
        return self.unreported_ends.late_starts

    @property
    def newest_announcement(self) -> run_worker.Announcement | None:
        """The newest announcement of another incarnation, or else of the current one."""
        return self.incarnations.newest_announcement

    @property
    def remembered_incarnations_count(self) -> int:
        """How many incarnations other than the current one are remembered."""
        return self.incarnations.remembered_count

    @property
    def announcement_overdue_s(self) -> float:
        """Seconds since the last announcement exceeded the age limit, or negative."""
        age_s = clock.now_s() - self.incarnations.last_announcement_s
        return age_s - self._announcement_age_limit_s

    @property
    def may_start(self) -> bool:
        """Whether the lease, orders and last announcement allow a start now.

        None is made on a worker that was deregistered, or while a later incarnation of
        the worker's name is announced or has answered but is not current yet, as it
        would begin the run. Nor is one while the worker has a run that reserves nobody
        knows what, until that is stopped.
        """
        return (
            not self.departures.prevent_starts(self.worker_id)
            and self.announcement_overdue_s <= 0
            and not self.incarnations.has_successor(self.worker_id)
            and not self.held.contact.has_successor
            and not self.late_calls.withholds_calls(
                self.worker_id, now_s=clock.now_s()
            )
            and self.run_orders.are_covered_by(self.lease)
            and self.held.knows_all_listed()
        )

    def lease_end_s(self) -> float:
        """Returns when the lease of the worker's runs has certainly expired."""
        return min(
            self.worker_clock.lease_end_s(self._lease_limit_s),
            self.held.contact.last_answer_s + self._lease_limit_s,
        )

    def next_incarnation(self) -> str:
        """Returns the incarnation of the worker to call next, or empty."""
        with self.changed:
            return self.incarnations.next_id_to_call() if self.term else ""

    def acknowledged_for(self, worker_id: str) -> int:
        """Returns up to which number an incarnation may discard its ends.

        A later incarnation of the same name, if there is one, would discard its own.
        """
        with self.changed:
            is_current = worker_id == self.worker_id
            if not is_current or self.incarnations.has_successor(worker_id):
                return 0
            return self.late_calls.acknowledgement_for(
                worker_id, self.acknowledged_end_number
            )
