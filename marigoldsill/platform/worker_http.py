"""HTTP interface for the worker of this VM: heartbeats and deregistration."""

from werkzeug import wrappers

from marigoldsill import errors
from marigoldsill.coordination.job_agent import agent_state
from marigoldsill.platform import http_apps
from marigoldsill.platform import worker_bodies
from marigoldsill.transport import logs

_HEARTBEAT = "Instances.Heartbeat/"
_DEREGISTER = "Instances.Deregister/"
# Maximum length of a path in a log line, in characters; a worker's path is shorter.
_LOGGED_LENGTH_LIMIT = 80


class WorkerHttp:
    """Decodes the worker's requests and updates the agent's state."""

    def __init__(self, *, state: agent_state.AgentState):
        self._state = state

    def handle(self, request: wrappers.Request) -> wrappers.Response:
        """Handles one request; refused heartbeats are logged."""
        try:
            return self._dispatch(request)
        except (errors.BadInputError, errors.ConflictError) as error:
            logs.event(
                "heartbeat_refused",
                level="WARNING",
                path=request.path[:_LOGGED_LENGTH_LIMIT],
                kind=error.kind,
                reason=error.message,
            )
            raise

    def _dispatch(self, request: wrappers.Request) -> wrappers.Response:
        method, name = http_apps.parse_call(request)
        if method == "POST" and name.startswith(_HEARTBEAT):
            announcement = worker_bodies.decode_announcement(
                request.get_data(cache=False),
                worker_id=name.removeprefix(_HEARTBEAT),
            )
            self._state.record_announcement(announcement)
            return http_apps.json_response({})
        if method == "POST" and name.startswith(_DEREGISTER):
            worker_id = worker_bodies.decode_worker_id(
                name.removeprefix(_DEREGISTER)
            )
            self._state.deregister(worker_id)
            return http_apps.json_response({})
        raise http_apps.unknown_path_error(
            request,
            served=[
                f"POST {http_apps.PREFIX}{name}ID"
                for name in (_HEARTBEAT, _DEREGISTER)
            ],
        )
