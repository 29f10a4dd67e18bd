"""The command line: one program, a subcommand for each role and task."""

from collections.abc import Callable
import dataclasses
import json
import pathlib
import sys
import uuid

import click

from marigoldsill import errors
from marigoldsill import settings as settings_module
from marigoldsill.transport import logs

_TIMEOUT_S = 5.0


class _Group(click.Group):
    """Turns typed errors into a message and the documented exit code."""

    def invoke(self, context: click.Context) -> object:
        try:
            return super().invoke(context)
        except errors.MarigoldsillError as error:
            click.echo(f"{error.kind}: {error.message}", err=True)
            sys.exit(error.exit_code)


def _settings_options(settings_class: type) -> Callable:
    def decorate(command: Callable) -> Callable:
        for field in reversed(dataclasses.fields(settings_class)):
            option = click.option(
                settings_module.flag_of(field.name),
                field.name,
                help=field.metadata["help"],
            )
            command = option(command)
        return command

    return decorate


@click.group(cls=_Group)
@click.version_option(package_name="marigoldsill")
def main() -> None:
    """A scheduler for colocated latency-critical and batch work."""


@main.command()
@_settings_options(settings_module.EntrySettings)
def entry(**flags: str | None) -> None:
    """Serves callers."""
    settings = settings_module.load(settings_module.EntrySettings, flags)
    logs.set_up(role="entry", name=settings.name, level=settings.log_level)
    from marigoldsill.roles import entry as role

    role.run(settings)


@main.command()
@_settings_options(settings_module.AgentSettings)
def agent(**flags: str | None) -> None:
    """Keeps one worker's runs and requests."""
    settings = settings_module.load(settings_module.AgentSettings, flags)
    logs.set_up(role="agent", name=settings.name, level=settings.log_level)
    from marigoldsill.roles import agent as role

    role.run(settings)


@main.group(cls=_Group)
def control() -> None:
    """Keeps the replicated state."""


@control.command("run")
@_settings_options(settings_module.ControlSettings)
def control_run(**flags: str | None) -> None:
    """Runs one control process."""
    settings = settings_module.load(settings_module.ControlSettings, flags)
    logs.set_up(role="control", name=settings.name, level=settings.log_level)
    from marigoldsill.roles import control as role

    role.run(settings)


_control_option = click.option(
    "--control-http",
    envvar="MARIGOLDSILL_CONTROL_HTTP",
    required=True,
    help="HTTP addresses of the control processes, with commas between.",
)


@main.group(cls=_Group)
def plan() -> None:
    """Makes a plan; nothing happens before it is confirmed."""


@plan.command("apply")
@click.argument("file", type=click.Path(exists=True, path_type=pathlib.Path))
@_control_option
def plan_apply(file: pathlib.Path, control_http: str) -> None:
    """Plans what an intent file declares."""
    _show(_request(control_http, "POST", "/v1/plans/apply", file.read_bytes()))


@plan.command("drain")
@click.argument("worker")
@_control_option
def plan_drain(worker: str, control_http: str) -> None:
    """Plans to drain a worker."""
    body = json.dumps({"name": worker}).encode()
    _show(_request(control_http, "POST", "/v1/plans/drain", body))


@main.command()
@click.argument("plan_id", type=int)
@click.option("--acknowledge", multiple=True, help="Guard rail by name.")
@_control_option
def confirm(
    plan_id: int, acknowledge: tuple[str, ...], control_http: str
) -> None:
    """Confirms a plan."""
    body = json.dumps({"acknowledged": list(acknowledge)}).encode()
    path = f"/v1/plans/{plan_id}/confirm"
    _show(_request(control_http, "POST", path, body))


@main.command()
@_control_option
def status(control_http: str) -> None:
    """Shows the state in short."""
    _show(_request(control_http, "GET", "/v1/status"))


@main.command()
@click.argument("name")
@_control_option
def explain(name: str, control_http: str) -> None:
    """Says why something waits, moved or ended."""
    _show(_request(control_http, "GET", f"/v1/explain/{name}"))


@main.command()
@_control_option
def audit(control_http: str) -> None:
    """Shows the audit trail."""
    _show(_request(control_http, "GET", "/v1/audit"))


def _request(
    control_http: str, method: str, path: str, body: bytes = b""
) -> object:
    from marigoldsill.transport import http_client

    command_id = str(uuid.uuid4())
    for address in control_http.split(","):
        answer = http_client.fetch(
            f"http://{address}{path}",
            method=method,
            body=body,
            headers=(("X-Command-Id", command_id),),
            timeout_s=_TIMEOUT_S,
        )
        value = json.loads(answer.body)
        if answer.status_code < 400:
            return value
        raise _error_of(value)
    raise errors.NoQuorumError("no control process answered")


def _error_of(value: dict) -> errors.MarigoldsillError:
    known = getattr(errors, str(value.get("error")), errors.MarigoldsillError)
    return known(value.get("message", ""))


def _show(value: object) -> None:
    click.echo(json.dumps(value, indent=2))
