"""Tickets from the adviser, which runs of some queues need to start."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import threading

from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import free_capacity
from marigoldsill.coordination.job_placing import tickets as tickets_module
from marigoldsill.coordination.jobs import orders as orders_module
from marigoldsill.coordination.jobs import ticket_requester
from marigoldsill.protocol import adviser as adviser_module
from marigoldsill.protocol import run_worker
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables


class TicketManager:
    """Requests tickets from the adviser and attaches them to granted runs.

    Called with the replica's lock held.

    Attributes:
        tickets: The answers of the adviser in this term.
    """

    def __init__(
        self,
        *,
        adviser: adviser_module.Adviser | None,
        lock: threading.RLock,
        on_answer: Callable[[], None],
    ):
        """Initializes the manager without any ticket.

        Args:
            adviser: The adviser to call. If None, jobs of queues with an adviser
                wait.
            lock: The replica's lock.
            on_answer: Called after each request to the adviser.
        """
        self.tickets = tickets_module.Tickets()
        self._requester: ticket_requester.TicketRequester | None = None
        if adviser is not None:
            self._requester = ticket_requester.TicketRequester(
                adviser=adviser, lock=lock, on_answer=on_answer
            )

    def start(self) -> None:
        """Starts sending requests."""
        if self._requester is not None:
            self._requester.start()

    def stop(self) -> None:
        """Stops sending requests."""
        if self._requester is not None:
            self._requester.stop()

    def begin_term(self) -> None:
        """Discards all tickets, as this process leads a new term."""
        self.tickets = tickets_module.Tickets()

    def observe_command(self, command: ttypes.Command) -> None:
        """Discards the tickets of steps of which a worker refused one."""
        if command.record_run_ends is None:
            return
        for end in command.record_run_ends.ends:
            if (
                end.kind == ttypes.RunEndKind.REFUSED
                and end.detail == run_worker.RefusalReason.NO_TICKET
            ):
                self.tickets.drop_step(task_names.parse(end.task).step_key)

    def attach_tickets(
        self,
        jobs: job_tables.JobTables,
        grants: Iterable[ttypes.RunGrant],
        orders: orders_module.Orders,
        *,
        now_s: float,
    ) -> None:
        """Adds the tickets of granted runs to their orders."""
        for grant in grants:
            address = task_names.parse(grant.task)
            if jobs.queue_of(jobs.jobs[address.job_id]).advised:
                orders.tickets[grant.task, grant.run] = (
                    self.tickets.find_ticket(
                        address.step_key, grant.worker_id, now_s=now_s
                    )
                )

    def request_tickets(
        self,
        waiting: Iterable[backlog_module.WaitingStep],
        workers: Collection[free_capacity.FreeCapacity],
        *,
        now_s: float,
    ) -> None:
        """Requests tickets for the waiting steps of queues with an adviser."""
        if self._requester is None:
            return
        advised = [step for step in waiting if step.queue.advised]
        self.tickets.retain_steps(step.key for step in advised)
        requests = ticket_requester.build_requests(
            advised, workers, self.tickets, now_s=now_s
        )
        self._requester.set_requests(requests, self.tickets)
