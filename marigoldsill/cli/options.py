"""Options that several commands share."""

from collections.abc import Callable
import dataclasses
import pathlib

import click

from marigoldsill import setting_sources


def for_settings(settings_class: type) -> Callable:
    """Adds a flag for each setting of a role."""

    def decorate(command: Callable) -> Callable:
        for field in reversed(dataclasses.fields(settings_class)):
            option = click.option(
                setting_sources.flag_of(field.name),
                field.name,
                help=field.metadata["help"],
            )
            command = option(command)
        return command

    return decorate


def for_operators(command: Callable) -> Callable:
    """Adds what every operators' command takes: where, who, how to print."""
    for option in reversed(_OPERATOR_OPTIONS):
        command = option(command)
    return command


command_id = click.option(
    "--command-id",
    default="",
    help="Id of a command whose answer was lost: sent again with the same "
    "id it takes effect once.",
)

_OPERATOR_OPTIONS = (
    click.option(
        "--control-http",
        envvar="MARIGOLDSILL_CONTROL_HTTP",
        required=True,
        help="HTTP addresses of the control processes, with commas between.",
    ),
    click.option(
        "--token-file",
        envvar="MARIGOLDSILL_TOKEN_FILE",
        type=click.Path(path_type=pathlib.Path),
        help="File that holds the operator's token.",
    ),
    click.option(
        "--operator",
        envvar="MARIGOLDSILL_OPERATOR",
        default="operator",
        show_default=True,
        help="The operator's name, where control asks for no token.",
    ),
    click.option(
        "--output",
        envvar="MARIGOLDSILL_OUTPUT",
        type=click.Choice(["table", "json"]),
        default="table",
        show_default=True,
        help="How to print the answer.",
    ),
)
