"""The agent process on a worker's VM of the platform."""

from collections.abc import Callable
from concurrent import futures

from marigoldsill.coordination.job_agent import agent_state
from marigoldsill.coordination.job_agent import (
    departure_watch as departure_watch_module,
)
from marigoldsill.coordination.job_agent import executor as executor_module
from marigoldsill.coordination.job_agent import (
    lease_renewer as lease_renewer_module,
)
from marigoldsill.coordination.job_agent import order_watch
from marigoldsill.coordination.job_agent import reporter as reporter_module
from marigoldsill.coordination.leadership import control_addresses
from marigoldsill.coordination.leadership import control_link
from marigoldsill.platform import http_apps
from marigoldsill.platform import settings_file
from marigoldsill.platform import worker_client
from marigoldsill.platform import worker_http
from marigoldsill.transport import http_server
from marigoldsill.transport import logs

_HTTP_THREADS_COUNT = 8
_LOOPS_COUNT = 5
# Maximum size of a heartbeat, by the platform's specification.
_BODY_LIMIT_BYTES = 4 << 20


class Side:
    """The agent process: serves one worker and reports to the leader."""

    def __init__(self, settings: settings_file.PlatformSettings):
        lease_limit_s = settings.hold_limit_ms / 1000
        self._state = agent_state.AgentState(
            announcement_age_limit_s=settings.announcement_age_limit_ms / 1000,
            lease_limit_s=lease_limit_s,
        )
        worker = worker_client.PlatformWorker(address=settings.worker_address)
        lease_renewer = lease_renewer_module.LeaseRenewer(
            state=self._state,
            worker=worker,
            lease_limit_s=lease_limit_s,
        )
        departure_watch = departure_watch_module.DepartureWatch(
            state=self._state,
            worker=worker,
            lease_limit_s=lease_limit_s,
        )
        self._executor = executor_module.Executor(
            state=self._state, worker=worker, lease_renewer=lease_renewer
        )
        self._control_addresses = control_addresses.ControlAddresses(
            settings.seed_addresses
        )
        self._links = [
            control_link.ControlLink(addresses=self._control_addresses)
            for _ in range(2)
        ]
        reporter = reporter_module.Reporter(
            agent=settings.name, state=self._state, link=self._links[0]
        )
        watch = order_watch.OrderWatch(
            agent=settings.name,
            state=self._state,
            link=self._links[1],
            addresses=self._control_addresses,
        )
        self._http = http_server.HttpServer(
            address=settings.control_address,
            app=http_apps.create_application(
                worker_http.WorkerHttp(state=self._state).handle
            ),
            threads_count=_HTTP_THREADS_COUNT,
            body_limit_bytes=_BODY_LIMIT_BYTES,
        )
        self._loops = (
            lease_renewer.run,
            departure_watch.run,
            self._executor.run,
            reporter.run,
            watch.run,
        )
        self._pool = futures.ThreadPoolExecutor(_LOOPS_COUNT, "agent")

    def start(self) -> None:
        """Starts the HTTP server and the loops."""
        self._http.start()
        for loop in self._loops:
            self._pool.submit(_run_and_log_failure, loop)
        logs.event("started", http=self._http.address)

    def stop(self) -> None:
        """Stops the agent; runs continue until their lease expires."""
        with self._state.changed:
            self._state.is_stopping = True
            self._state.changed.notify_all()
        for link in self._links:
            link.close()
        self._http.stop()
        logs.event("stopped")

    def reload(self, settings: settings_file.PlatformSettings) -> None:
        """Applies changed settings; only the seeds can change at run time."""
        self._control_addresses.replace_seeds(settings.seed_addresses)


def _run_and_log_failure(loop: Callable[[], None]) -> None:
    try:
        loop()
    except Exception as error:
        logs.event("task_failed", level="CRITICAL", trace=repr(error))
        raise
