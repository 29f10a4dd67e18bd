"""Tests of what a process reads of the settings of where tasks go."""

import pathlib

import pytest

from marigoldsill import errors
from marigoldsill import setting_sources
from marigoldsill import settings as settings_module
from marigoldsill.coordination.job_locality import locality_settings
from marigoldsill.coordination.jobs import scheduling_settings
from marigoldsill.platform import edge
from marigoldsill.platform import settings_file

_FILE = """
node_name = "n1"
ip = "127.0.0.1"
zone = "z1"
internal_ports = [7001, 7002]
seeds = []
[bounds]
{bounds}
"""


def _load(
    tmp_path: pathlib.Path, bounds: str
) -> settings_file.PlatformSettings:
    path = tmp_path / "node.toml"
    path.write_text(_FILE.format(bounds=bounds))
    return settings_file.load(path)


def _load_edge(**flags: str) -> settings_module.PlatformEdgeSettings:
    return setting_sources.load(
        settings_module.PlatformEdgeSettings, flags, environment={}
    )


@pytest.mark.parametrize(
    ("bounds", "ratio"),
    [("", 1.0), ("remote_factor = 1.5", 1.5), ("remote_factor = 3", 3.0)],
)
def test_the_remote_run_ratio_is_read(
    tmp_path: pathlib.Path, bounds: str, ratio: float
) -> None:
    assert _load(tmp_path, bounds).remote_run_ratio == ratio


@pytest.mark.parametrize(
    "value", ["0.5", "-2", "0", '"2"', "true", "nan", "inf", "[2]"]
)
def test_a_ratio_below_one_or_that_is_no_number_is_refused(
    tmp_path: pathlib.Path, value: str
) -> None:
    with pytest.raises(
        errors.SettingsError, match="remote_factor of .*1 or more"
    ):
        _load(tmp_path, f"remote_factor = {value}")


def test_the_ratio_of_the_platform_joins_the_settings_of_the_process(
    tmp_path: pathlib.Path,
) -> None:
    scheduling = edge.with_platform_settings(
        scheduling_settings.SchedulingSettings(
            locality=locality_settings.LocalitySettings(worker_ramp_up_s=8)
        ),
        _load(tmp_path, "remote_factor = 2"),
    )
    assert scheduling.locality.remote_run_ratio == 2.0
    assert scheduling.locality.worker_ramp_up_s == 8


def test_by_default_nothing_is_switched_on(tmp_path: pathlib.Path) -> None:
    flags = _load_edge()
    assert (flags.spread_racks, flags.worker_ramp_up_s) == (0, 0)
    scheduling = edge.with_platform_settings(
        scheduling_settings.SchedulingSettings(), _load(tmp_path, "")
    )
    assert scheduling == scheduling_settings.SchedulingSettings()


@pytest.mark.parametrize(
    "flags",
    [
        {"worker_ramp_up_s": "-1"},
        {"worker_ramp_up_s": "soon"},
        {"worker_ramp_up_s": "601"},
        {"spread_racks": "2"},
        {"spread_racks": "yes"},
    ],
)
def test_a_bad_flag_is_named_with_what_is_accepted(flags: dict) -> None:
    with pytest.raises(errors.SettingsError, match="expected a whole number"):
        _load_edge(**flags)
