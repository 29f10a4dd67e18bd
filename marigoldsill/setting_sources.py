"""Loads settings from flags and environment variables.

The flag `--lease-ms` and the variable `MARIGOLDSILL_LEASE_MS` set the same setting;
the flag takes precedence.
"""

from collections.abc import Mapping
import dataclasses
import os
from typing import Any

from marigoldsill import errors

ENVIRONMENT_PREFIX = "MARIGOLDSILL_"


def variable_of(setting_name: str) -> str:
    """Returns the name of a setting's environment variable."""
    return ENVIRONMENT_PREFIX + setting_name.upper()


def flag_of(setting_name: str) -> str:
    """Returns the flag of a setting."""
    return "--" + setting_name.replace("_", "-")


def load(
    settings_class: type,
    flags: Mapping[str, str | None],
    *,
    environment: Mapping[str, str] | None = None,
) -> Any:
    """Loads the settings of a role.

    Args:
        settings_class: The class of the role's settings.
        flags: Values of the flags by setting name; None where a flag was not given.
        environment: Environment variables; those of the process by default.

    Raises:
        SettingsError: Settings are invalid or missing; the message lists all of them.
    """
    environment = os.environ if environment is None else environment
    values: dict[str, object] = {}
    problems: list[str] = []
    for field in dataclasses.fields(settings_class):
        text = flags.get(field.name)
        source = flag_of(field.name)
        if text is None:
            text = environment.get(variable_of(field.name))
            source = variable_of(field.name) if text is not None else source
        if text is None:
            if field.default is dataclasses.MISSING:
                problems.append(
                    f"{source} (or {variable_of(field.name)}) is missing: "
                    f"{field.metadata['help']}"
                )
            continue
        try:
            values[field.name] = field.metadata["check"](text)
        except errors.SettingsError as error:
            problems.append(f"{source}: {error.message}")
    if problems:
        raise errors.SettingsError("\n".join(problems))
    return settings_class(**values)
