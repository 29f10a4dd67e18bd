"""Commands that make plans and confirm them."""

import json
import pathlib
import urllib.parse

import click

from marigoldsill import errors
from marigoldsill.cli import groups
from marigoldsill.cli import options


@click.group(cls=groups.Group)
def plan() -> None:
    """Makes a plan; nothing happens before it is confirmed."""


@plan.command()
@click.argument("file", type=click.Path(path_type=pathlib.Path))
@options.command_id
@options.for_operators
def apply(file: pathlib.Path, **given: object) -> None:
    """Plans what an intent FILE declares."""
    _plan("apply", read_file(file), **given)


@plan.command()
@click.argument("name")
@options.command_id
@options.for_operators
def remove(name: str, **given: object) -> None:
    """Plans to remove a service, batch job, watcher or team by its NAME."""
    _plan("remove", _json(name=name), **given)


@plan.command()
@click.argument("worker")
@options.command_id
@options.for_operators
def drain(worker: str, **given: object) -> None:
    """Plans to move everything off a WORKER and to give it nothing new."""
    _plan("drain", _json(name=worker), **given)


@plan.command()
@click.argument("worker")
@options.command_id
@options.for_operators
def undrain(worker: str, **given: object) -> None:
    """Plans to let a drained WORKER take work again."""
    _plan("undrain", _json(name=worker), **given)


@plan.command()
@click.argument("names", nargs=-1, required=True)
@options.command_id
@options.for_operators
def cancel(names: tuple[str, ...], **given: object) -> None:
    """Plans to cancel batch jobs by their NAMES."""
    _plan("cancel", _json(names=list(names)), **given)


@plan.command()
@click.option("--latency-weight", type=float, help="From 0 to 1.")
@click.option("--batch-weight", type=float, help="From 0 to 1.")
@click.option(
    "--eviction-share-limit",
    type=float,
    help="Share of running work that may be evicted in a minute, 0 to 1.",
)
@click.option("--lease-ms", type=int, help="Lease of an agent.")
@click.option(
    "--sharing-allowed/--no-sharing-allowed",
    default=None,
    help="Whether services and batch jobs may share a worker.",
)
@options.command_id
@options.for_operators
def policy(
    latency_weight: float | None,
    batch_weight: float | None,
    eviction_share_limit: float | None,
    lease_ms: int | None,
    sharing_allowed: bool | None,
    **given: object,
) -> None:
    """Plans a change of policy; what isn't given stays as it is."""
    fields = {
        "latency_weight": latency_weight,
        "batch_weight": batch_weight,
        "eviction_share_limit": eviction_share_limit,
        "lease_ms": lease_ms,
        "sharing_allowed": sharing_allowed,
    }
    changed = {k: v for k, v in fields.items() if v is not None}
    if not changed:
        raise errors.BadInputError(
            "no field of the policy was given; accepted are "
            + ", ".join("--" + name.replace("_", "-") for name in fields)
        )
    lines = (f"{k} = {json.dumps(v)}" for k, v in changed.items())
    _plan("policy", "\n".join(lines).encode(), **given)


@plan.command()
@click.argument("plan_id", type=click.IntRange(min=1))
@options.for_operators
def show(
    plan_id: int,
    operators: options.OperatorOptions,
) -> None:
    """Shows the plan PLAN_ID as it was made."""
    client = operators.client()
    operators.show(client.get(f"/v1/plans/{plan_id}"))


@click.command()
@click.argument("plan_id", type=click.IntRange(min=1))
@click.option(
    "--acknowledge",
    multiple=True,
    metavar="GUARD",
    help="A guard rail that the plan names; once for each.",
)
@options.command_id
@options.for_operators
def confirm(
    plan_id: int,
    acknowledge: tuple[str, ...],
    command_id: str,
    operators: options.OperatorOptions,
) -> None:
    """Confirms the plan PLAN_ID, which then takes effect."""
    client = operators.client()
    value = client.post(
        f"/v1/plans/{plan_id}/confirm",
        _json(acknowledged=list(acknowledge)),
        command_id=command_id,
    )
    operators.show(value)


def read_file(path: pathlib.Path) -> bytes:
    """The bytes of an intent file.

    Raises:
        BadInputError: It can't be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.BadInputError(
            f"{str(path)!r} can't be read: {error.strerror}"
        ) from error


def _plan(
    action: str,
    body: bytes,
    *,
    command_id: str,
    operators: options.OperatorOptions,
) -> None:
    client = operators.client()
    path = f"/v1/plans/{urllib.parse.quote(action)}"
    value = client.post(path, body, command_id=command_id)
    operators.show(value)
    if operators.output == "table":
        click.echo(f"\nNothing has happened yet. {_next_step(value)}")


def _next_step(value: dict) -> str:
    names = dict.fromkeys(guard["name"] for guard in value.get("guards", []))
    guards = "".join(f" --acknowledge {name}" for name in names)
    lead = "If each guard rail above is meant" if guards else "To go on"
    return f"{lead}: marigoldsill confirm {value['plan_id']}{guards}"


def _json(**fields: object) -> bytes:
    return json.dumps(fields).encode()
