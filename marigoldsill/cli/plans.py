"""Commands that create, show and confirm plans."""

import json
import pathlib
import urllib.parse

import click

from marigoldsill import errors
from marigoldsill.cli import groups
from marigoldsill.cli import options


@click.group(cls=groups.Group)
def plan() -> None:
    """Creates or shows a plan, which takes effect only once it is confirmed."""


@plan.command()
@click.argument("file", type=click.Path(path_type=pathlib.Path))
@options.command_id
@options.add_operator_options
def apply(file: pathlib.Path, **command_options: object) -> None:
    """Plans what an intent FILE declares."""
    _create_plan("apply", read_file(file), **command_options)


@plan.command()
@click.argument("name")
@options.command_id
@options.add_operator_options
def remove(name: str, **command_options: object) -> None:
    """Plans to remove a service, batch job, watcher or team by its NAME."""
    _create_plan("remove", _encode_json(name=name), **command_options)


@plan.command()
@click.argument("worker")
@options.command_id
@options.add_operator_options
def drain(worker: str, **command_options: object) -> None:
    """Plans to move all tasks off a WORKER and to assign it no new ones."""
    _create_plan("drain", _encode_json(name=worker), **command_options)


@plan.command()
@click.argument("worker")
@options.command_id
@options.add_operator_options
def undrain(worker: str, **command_options: object) -> None:
    """Plans to assign tasks to a drained WORKER again."""
    _create_plan("undrain", _encode_json(name=worker), **command_options)


@plan.command()
@click.argument("data_centre")
@options.command_id
@options.add_operator_options
def evacuate(data_centre: str, **command_options: object) -> None:
    """Plans to move all tasks off a DATA_CENTRE and to start none there."""
    _create_plan("evacuate", _encode_json(name=data_centre), **command_options)


@plan.command("end-evacuation")
@click.argument("data_centre")
@options.command_id
@options.add_operator_options
def end_evacuation(data_centre: str, **command_options: object) -> None:
    """Plans to start tasks in an evacuated DATA_CENTRE again."""
    _create_plan(
        "end-evacuation", _encode_json(name=data_centre), **command_options
    )


@plan.command()
@click.argument("names", nargs=-1, required=True)
@options.command_id
@options.add_operator_options
def cancel(names: tuple[str, ...], **command_options: object) -> None:
    """Plans to cancel batch jobs by their NAMES."""
    _create_plan("cancel", _encode_json(names=list(names)), **command_options)


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
@options.add_operator_options
def policy(
    latency_weight: float | None,
    batch_weight: float | None,
    eviction_share_limit: float | None,
    lease_ms: int | None,
    sharing_allowed: bool | None,
    **command_options: object,
) -> None:
    """Plans a change of the policy; fields that are not given stay unchanged."""
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
            "missing policy field: expected at least one of "
            + ", ".join("--" + name.replace("_", "-") for name in fields)
        )
    lines = (f"{k} = {json.dumps(v)}" for k, v in changed.items())
    _create_plan("policy", "\n".join(lines).encode(), **command_options)


@plan.command()
@click.argument("plan_id", type=click.IntRange(min=1))
@options.add_operator_options
def show(
    plan_id: int,
    operator_options: options.OperatorOptions,
) -> None:
    """Shows the plan PLAN_ID as it was created."""
    client = operator_options.create_client()
    operator_options.print_answer(client.get(f"/v1/plans/{plan_id}"))


@click.command()
@click.argument("plan_id", type=click.IntRange(min=1))
@click.option(
    "--acknowledge",
    multiple=True,
    metavar="GUARD",
    help="A guard rail that the plan hits; may be repeated.",
)
@options.command_id
@options.add_operator_options
def confirm(
    plan_id: int,
    acknowledge: tuple[str, ...],
    command_id: str,
    operator_options: options.OperatorOptions,
) -> None:
    """Confirms the plan PLAN_ID, which then takes effect."""
    client = operator_options.create_client()
    value = client.post(
        f"/v1/plans/{plan_id}/confirm",
        _encode_json(acknowledged=list(acknowledge)),
        command_id=command_id,
    )
    operator_options.print_answer(value)


def read_file(path: pathlib.Path) -> bytes:
    """Reads an intent file.

    Raises:
        BadInputError: The file can't be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.BadInputError(
            f"cannot read {str(path)!r}: {error.strerror}"
        ) from error


def _create_plan(
    action: str,
    body: bytes,
    *,
    command_id: str,
    operator_options: options.OperatorOptions,
) -> None:
    client = operator_options.create_client()
    path = f"/v1/plans/{urllib.parse.quote(action)}"
    value = client.post(path, body, command_id=command_id)
    operator_options.print_answer(value)
    if operator_options.output == "table":
        click.echo(f"\nNothing has happened yet. {_describe_next_step(value)}")


def _describe_next_step(value: dict) -> str:
    names = dict.fromkeys(guard["name"] for guard in value.get("guards", []))
    guards = "".join(f" --acknowledge {name}" for name in names)
    condition = "If each guard rail above is meant" if guards else "To go on"
    return f"{condition}: marigoldsill confirm {value['plan_id']}{guards}"


def _encode_json(**fields: object) -> bytes:
    return json.dumps(fields).encode()
