"""The settings file that the platform writes for a process."""

import pathlib

import pytest

from marigoldsill import errors
from marigoldsill.platform import settings_file

_SETTINGS = """
node_name = "side-1"
ip = "127.0.0.1"
zone = "z1"
internal_ports = [7720, 7729]
seeds = ["127.0.0.1:7720"]
"""


def _load(
    folder: pathlib.Path, text: str = ""
) -> settings_file.PlatformSettings:
    path = folder / "settings.toml"
    path.write_text(_SETTINGS + text)
    return settings_file.load(path)


@pytest.mark.parametrize("line", ["", 'control_mode = "request"'])
def test_workers_that_are_called_are_served(
    tmp_path: pathlib.Path, line: str
) -> None:
    assert _load(tmp_path, line).name == "side-1"


@pytest.mark.parametrize("value", ['"heartbeat"', '"other"', '""', "7"])
def test_another_control_mode_is_a_settings_error(
    tmp_path: pathlib.Path, value: str
) -> None:
    """Guards against an agent whose worker never gets its instructions."""
    with pytest.raises(errors.SettingsError, match="control_mode"):
        _load(tmp_path, f"control_mode = {value}")


def test_the_error_names_the_supported_control_mode(
    tmp_path: pathlib.Path,
) -> None:
    with pytest.raises(errors.SettingsError, match="'request'"):
        _load(tmp_path, 'control_mode = "heartbeat"')
