"""The thread that requests new orders from the leader."""

from marigoldsill import errors
from marigoldsill.coordination.job_agent import agent_state
from marigoldsill.coordination.leadership import control_addresses
from marigoldsill.coordination.leadership import control_link
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import dependency_log

# How long the leader may delay its answer.
_ANSWER_WAIT_MS = 1_000
# A leader that is lost without closing its connection is noticed after the wait and
# this margin.
_TIMEOUT_MARGIN_S = 0.7
_PAUSE_S = 0.1


class OrderWatch:
    """Receives orders until the agent stops."""

    def __init__(
        self,
        *,
        agent: str,
        state: agent_state.AgentState,
        link: control_link.ControlLink,
        addresses: control_addresses.ControlAddresses,
    ):
        """Initializes the watch.

        Args:
            agent: This agent's name.
            state: The agent's state, which is updated with the orders.
            link: The connection to the leader.
            addresses: Updated with the control addresses that the leader sends.
        """
        self._addresses = addresses
        self._agent = agent
        self._state = state
        self._link = link
        self._dependency = dependency_log.DependencyLog("control_orders")

    def run(self) -> None:
        """Requests orders until the agent stops."""
        state = self._state
        while not state.is_stopping:
            try:
                reply = self._link.call(
                    "agent_orders",
                    ttypes.OrdersRequest(
                        agent=self._agent,
                        term=state.run_orders.term,
                        version=state.run_orders.version,
                        wait_ms=_ANSWER_WAIT_MS,
                        interference_version=state.run_orders.interference_version,
                    ),
                    timeout_s=_ANSWER_WAIT_MS / 1000 + _TIMEOUT_MARGIN_S,
                )
            except errors.MarigoldsillError as error:
                self._dependency.record_failure(error.kind, error.message)
                with state.changed:
                    state.changed.wait(_PAUSE_S)
                continue
            self._dependency.record_success()
            if state.update_orders(reply):
                self._addresses.update_members(reply.control_addresses)
            else:
                self._link.switch_address()
