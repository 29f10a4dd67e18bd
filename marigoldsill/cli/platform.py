"""Commands that run a process on the users' platform."""

import functools
import importlib

import click

from marigoldsill import setting_sources
from marigoldsill import settings as settings_module
from marigoldsill.cli import groups
from marigoldsill.cli import options
from marigoldsill.coordination.job_admission import admission_settings
from marigoldsill.coordination.job_locality import locality_settings
from marigoldsill.coordination.job_queueing import concurrency_limits
from marigoldsill.coordination.job_queueing import shares as shares_module
from marigoldsill.coordination.jobs import scheduling_settings
from marigoldsill.platform import settings_file
from marigoldsill.transport import logs


@click.group(cls=groups.Group)
def platform() -> None:
    """Runs a process on the users' platform, with the platform's settings file."""


@platform.command("edge")
@options.add_settings_flags(settings_module.PlatformEdgeSettings)
def edge(**flags: str | None) -> None:
    """Serves callers and operators, and keeps state if there is a disk."""
    settings = setting_sources.load(settings_module.PlatformEdgeSettings, flags)
    _run(
        "edge",
        "Edge",
        settings.metrics_port,
        advertise_address=settings.advertise_address,
        scheduling=_scheduling_of(settings),
    )


@platform.command("side")
@options.add_settings_flags(settings_module.PlatformSideSettings)
def side(**flags: str | None) -> None:
    """Manages the runs of the worker on this machine."""
    settings = setting_sources.load(settings_module.PlatformSideSettings, flags)
    _run("side", "Side", settings.metrics_port)


def _scheduling_of(
    settings: settings_module.PlatformEdgeSettings,
) -> scheduling_settings.SchedulingSettings:
    """Returns the optional parts of the decisions that the settings switch on."""
    return scheduling_settings.SchedulingSettings(
        admission=admission_settings.AdmissionSettings(
            is_enabled=settings.admission == "on",
            waiting_jobs_limit=settings.waiting_jobs_limit,
            waiting_bytes_limit=settings.waiting_bytes_limit,
        ),
        shares=_shares_of(settings),
        job_concurrency=concurrency_limits.parse(settings.job_concurrency),
        locality=locality_settings.LocalitySettings(
            spreads_racks=bool(settings.spread_racks),
            worker_ramp_up_s=settings.worker_ramp_up_s,
        ),
    )


def _shares_of(
    settings: settings_module.PlatformEdgeSettings,
) -> shares_module.ShareSettings | None:
    shares = settings.queue_shares.shares
    if not shares:
        return None
    return shares_module.ShareSettings(
        ratios={share.name: share.ratio for share in shares},
        reclaim_s=settings.share_reclaim_s,
    )


def _run(
    role: str, class_name: str, metrics_port: int, **arguments: object
) -> None:
    path = settings_file.find_path()
    name = settings_file.load(path).name
    logs.set_up(role=role, name=name, serves=True)
    module = importlib.import_module(f"marigoldsill.platform.{role}")
    process = importlib.import_module("marigoldsill.platform.process")
    create_role = functools.partial(getattr(module, class_name), **arguments)
    process.run(create_role, path, metrics_port=metrics_port)
