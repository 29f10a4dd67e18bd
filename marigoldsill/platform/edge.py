"""The process on an edge VM: serves clients and operators and may store the state."""

import dataclasses

from werkzeug import wrappers

from marigoldsill.coordination.jobs import client as job_client
from marigoldsill.coordination.jobs import scheduling_settings
from marigoldsill.coordination.leadership import control_addresses
from marigoldsill.platform import adviser_client
from marigoldsill.platform import configuration_http
from marigoldsill.platform import http_apps
from marigoldsill.platform import job_http
from marigoldsill.platform import settings_file
from marigoldsill.roles import control_node
from marigoldsill.transport import http_server
from marigoldsill.transport import logs

_JOB_THREADS_COUNT = 256
_CONFIGURATION_THREADS_COUNT = 32
_READINESS_THREADS_COUNT = 4
# Reserved for the end of the process after the drain, before SIGKILL.
_STOP_MARGIN_S = 1.0
_DEFAULT_SCHEDULING = scheduling_settings.SchedulingSettings()


class Edge:
    """The edge process: a control node and the HTTP servers of the platform."""

    def __init__(
        self,
        settings: settings_file.PlatformSettings,
        *,
        advertise_address: str = "",
        scheduling: scheduling_settings.SchedulingSettings = _DEFAULT_SCHEDULING,
    ):
        """Creates the process without starting it.

        Args:
            settings: The platform's settings for this process.
            advertise_address: The address at which other processes reach this one;
                the listen address if empty.
            scheduling: The optional parts of the leader's decisions about jobs.
        """
        self._settings = settings
        self._node = control_node.ControlNode(
            name=settings.name,
            address=advertise_address or settings.internal_address,
            listen_address=settings.internal_address,
            data_centre=settings.data_centre,
            data_folder=settings.data_folder,
            first_start=settings.first_start,
            seed_addresses=settings.seed_addresses,
            target_voters_count=2 * settings.tolerated_losses_count + 1,
            job_retention_s=settings.job_retention_s,
            adviser=_create_adviser(settings),
            scheduling=with_platform_settings(scheduling, settings),
        )
        self._control_addresses = control_addresses.ControlAddresses(
            _lookup_addresses(settings)
        )
        self._client = job_client.JobClient(addresses=self._control_addresses)
        self._is_stopping = False
        self._servers = [
            self._create_server(
                settings.frontend_address,
                job_http.JobHttp(client=self._client).handle,
                _JOB_THREADS_COUNT,
            ),
            self._create_server(
                settings.readiness_address,
                self._handle_readiness,
                _READINESS_THREADS_COUNT,
            ),
            self._create_server(
                settings.control_address,
                configuration_http.ConfigurationHttp(
                    client=self._client
                ).handle,
                _CONFIGURATION_THREADS_COUNT,
            ),
        ]

    def start(self) -> None:
        """Starts the control node and the servers."""
        self._node.start()
        for server in self._servers:
            server.start()
        logs.event("started", address=self._node.address)

    def stop(self) -> None:
        """Reports not ready, completes requests in flight, then stops."""
        self._is_stopping = True
        for server in self._servers:
            server.drain()
        limit_s = self._settings.stop_limit_s - _STOP_MARGIN_S
        for server in self._servers:
            server.stop(drain_limit_s=limit_s)
        self._client.close()
        self._node.stop()
        logs.event("stopped")

    def reload(self, settings: settings_file.PlatformSettings) -> None:
        """Applies changed settings; only the seeds can change at run time."""
        self._control_addresses.replace_seeds(_lookup_addresses(settings))
        self._node.replace_seeds(settings.seed_addresses)

    def _create_server(
        self, address: str, handle: http_apps.Handler, threads_count: int
    ) -> http_server.HttpServer:
        return http_server.HttpServer(
            address=address,
            app=http_apps.create_application(handle),
            threads_count=threads_count,
        )

    def _handle_readiness(self, request: wrappers.Request) -> wrappers.Response:
        match http_apps.parse_call(request):
            case ("GET", "ready"):
                return http_apps.json_response(
                    {}, status=503 if self._is_stopping else 200
                )
            case _:
                raise http_apps.unknown_path_error(
                    request, served=[f"GET {http_apps.PREFIX}ready"]
                )


def _lookup_addresses(
    settings: settings_file.PlatformSettings,
) -> list[str]:
    """The addresses that an entry asks for the leader: its process, then the seeds.

    Its own process may be a member, or know the leader, while no seed answers. It
    also answers at once, while an unresponsive seed uses up a large part of a
    call's time.
    """
    return [settings.internal_address, *settings.seed_addresses]


def with_platform_settings(
    scheduling: scheduling_settings.SchedulingSettings,
    settings: settings_file.PlatformSettings,
) -> scheduling_settings.SchedulingSettings:
    """Returns the settings of decisions with what the platform decides of them."""
    locality = dataclasses.replace(
        scheduling.locality, remote_run_ratio=settings.remote_run_ratio
    )
    return dataclasses.replace(scheduling, locality=locality)


def _create_adviser(
    settings: settings_file.PlatformSettings,
) -> adviser_client.PlatformAdviser | None:
    if not settings.adviser_address:
        return None
    return adviser_client.PlatformAdviser(address=settings.adviser_address)
