"""HTTP for the worker of this machine: it says that it lives, or leaves."""

from werkzeug import wrappers

from marigoldsill.coordination.job_agent import agent_state
from marigoldsill.platform import http_apps
from marigoldsill.platform import worker_bodies

_HEARTBEAT = "Instances.Heartbeat/"
_DEREGISTER = "Instances.Deregister/"


class WorkersHttp:
    """Decodes what the worker says."""

    def __init__(self, *, state: agent_state.AgentState):
        self._state = state

    def handle(self, request: wrappers.Request) -> wrappers.Response:
        """Answers one request."""
        method, name = http_apps.call_of(request)
        if method == "POST" and name.startswith(_HEARTBEAT):
            announcement = worker_bodies.decode_announcement(
                request.get_data(cache=False),
                worker_id=name.removeprefix(_HEARTBEAT),
            )
            self._state.announce(announcement)
            return http_apps.of_json({})
        if method == "POST" and name.startswith(_DEREGISTER):
            self._state.retire(name.removeprefix(_DEREGISTER))
            return http_apps.of_json({})
        raise http_apps.nothing_here(request)
