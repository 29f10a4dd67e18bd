"""The connection of an agent to the leader in the cluster model, with its faults."""

from collections.abc import Callable

from marigoldsill import errors
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import model_control

# Maximum number of reports that may still arrive.
_LATE_REPORTS_LIMIT = 8


class ModelLink:
    """Carries reports and orders.

    Attributes:
        is_cut: Whether nothing arrives.
        is_reply_lost: Whether replies are lost.
        is_late: Whether reports arrive only later, and get no reply.
        before_reply: Called once before the next reply arrives, if not None.
        is_reporting: Whether a report waits for its reply.
    """

    def __init__(self, leader_of: Callable[[], model_control.Control]):
        self._leader_of = leader_of
        self.is_cut = False
        self.is_reply_lost = False
        self.is_late = False
        self.before_reply: Callable[[], None] | None = None
        self.is_reporting = False
        # Reports that may still arrive.
        self._late: list[bytes] = []

    @property
    def late_reports_count(self) -> int:
        """How many reports may still arrive."""
        return len(self._late)

    def heal(self) -> None:
        """Ends all faults."""
        self.is_cut = self.is_reply_lost = self.is_late = False

    def replace_connection(self) -> None:
        """Ends the faults of the connection of a process, which another one replaces.

        The reports of the earlier process may still arrive.
        """
        self.is_reply_lost = self.is_late = False

    def drop_late_reports(self) -> None:
        """Drops the reports that have not arrived."""
        self._late = []

    def call(
        self, _name: str, report: ttypes.AgentReport, *, timeout_s: float
    ) -> ttypes.AgentReply:
        """Sends a report; `timeout_s` has no effect."""
        if self.is_cut:
            raise errors.TransportError("cut off", sent=False)
        leader = self._leader_of()
        if self.is_late or self.is_reply_lost:
            self._late.append(codec.encode(report))
            del self._late[:-_LATE_REPORTS_LIMIT]
        if self.is_late:
            raise errors.TransportError("no answer", sent=True, timed_out=True)
        self.is_reporting = True
        try:
            reply = _call(lambda: leader.jobs.service.agent_report(report))
            self._wait_for_reply()
        finally:
            self.is_reporting = False
        if self.is_reply_lost:
            raise errors.TransportError("no answer", sent=True, timed_out=True)
        return reply

    def orders(self, request: ttypes.OrdersRequest) -> ttypes.OrdersReply:
        """Requests orders."""
        if self.is_cut:
            raise errors.TransportError("cut off", sent=False)
        leader = self._leader_of()
        reply = _call(lambda: leader.jobs.service.agent_orders(request))
        # The reply stays as it is while other calls change the leader's state.
        reply = codec.decode(ttypes.OrdersReply(), codec.encode(reply))
        self._wait_for_reply()
        return reply

    def deliver_late_report(self, position: int) -> bool:
        """Lets a report arrive late, or once more; returns whether it was handled.

        An agent tries all control processes, so it was on its way to any of them.
        """
        data = self._late.pop(position % len(self._late))
        report = codec.decode(ttypes.AgentReport(), data)
        leader = self._leader_of()
        try:
            _call(lambda: leader.jobs.service.agent_report(report))
        except errors.MarigoldsillError:
            return False
        return True

    def _wait_for_reply(self) -> None:
        before_reply, self.before_reply = self.before_reply, None
        if before_reply is not None:
            before_reply()


def _call(call: Callable[[], object]) -> object:
    """Makes a call; errors of the leader are those of its connection."""
    try:
        return call()
    except (ttypes.NotLeader, ttypes.NoQuorum) as error:
        raise errors.TransportError(repr(error), sent=True) from error
