"""Runs a role on the platform: reloads settings on SIGHUP and stops on SIGTERM."""

from collections.abc import Callable
import pathlib
from typing import Protocol

from marigoldsill import errors
from marigoldsill.platform import settings_file
from marigoldsill.roles import metrics_http
from marigoldsill.roles import stop_signals
from marigoldsill.transport import logs

# The file is also read at this interval, as it may change without a signal.
_RELOAD_INTERVAL_S = 1.0


class Role(Protocol):
    """A role that runs until a stop signal."""

    def start(self) -> None:
        """Starts to serve."""

    def stop(self) -> None:
        """Stops gracefully."""

    def reload(self, settings: settings_file.PlatformSettings) -> None:
        """Applies changed settings."""


class _Reloader:
    """Applies changed settings to a role; invalid settings have no effect."""

    def __init__(
        self,
        role: Role,
        path: pathlib.Path,
        settings: settings_file.PlatformSettings,
    ):
        self._role = role
        self._path = path
        self._settings = settings

    def reload_if_changed(self) -> None:
        try:
            settings = settings_file.load(self._path)
        except errors.SettingsError as error:
            logs.event("reload_failed", level="ERROR", reason=error.message)
            return
        if settings == self._settings:
            return
        self._settings = settings
        self._role.reload(settings)
        logs.event("reloaded", seeds=",".join(settings.seed_hosts))


def run(
    create_role: Callable[[settings_file.PlatformSettings], Role],
    path: pathlib.Path,
    *,
    metrics_port: int = 0,
) -> None:
    """Runs a role until SIGTERM or SIGINT.

    Args:
        create_role: Creates the role from its settings.
        path: The settings file.
        metrics_port: The port for metrics on the VM's own address; 0 for none.
    """
    settings = settings_file.load(path)
    signals = stop_signals.StopSignals(reloads=True)
    role = create_role(settings)
    metrics_server = None
    if metrics_port:
        address = f"{settings.ip_address}:{metrics_port}"
        metrics_server = metrics_http.create_server(address)
        metrics_server.start()
    role.start()
    signals.wait(
        on_reload=_Reloader(role, path, settings).reload_if_changed,
        reload_interval_s=_RELOAD_INTERVAL_S,
    )
    role.stop()
    if metrics_server is not None:
        # The interpreter waits for the server's thread at exit: without this, the
        # process would run until it is killed, 6 s later.
        metrics_server.stop()
    logs.flush()
