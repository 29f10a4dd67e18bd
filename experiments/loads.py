"""Loads: the workers, the arriving jobs and the true behaviour of tasks.

A load is a TOML file. Its figures describe no deployment; `docs/EXPERIMENTS.md`
gives the range that they are meant to cover.
"""

import dataclasses
import pathlib
import tomllib

from marigoldsill import errors

FOLDER = pathlib.Path(__file__).parent / "loads"


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """One load, all times in virtual seconds.

    Attributes:
        name: Name of the file without its suffix.
        length_s: Period in which jobs arrive; the simulation continues for a
            quarter of it.
        workers_count: Number of workers.
        worker_cores: Cores of most workers.
        large_share: Share of the workers with 1.5 times as many cores.
        lasting_jobs_count: Number of long-running latency-critical jobs, most
            of them submitted at the beginning of the day.
        lasting_width: Mean number of tasks of such a job.
        lasting_cores: Mean cores that one of their tasks declares.
        lasting_spread_share: Share of these jobs with a spread limit of 2.
        serving_images_count: Number of images that these tasks run.
        load_ratio: Mean utilization of a latency-critical task's own capacity.
        swing_share: Amplitude of its variation, relative to `load_ratio`.
        swing_s: Period of that variation.
        tail_ms: Tail latency of a latency-critical task without load.
        target_ms: Target of its tail latency.
        filling_jobs_per_s: Arrival rate of best-effort jobs.
        filling_burst_factor: Factor of that rate during the burst.
        filling_burst_s: Begin and end of the burst.
        filling_steps_mean: Mean number of steps of such a job.
        filling_width: Mean number of tasks of a step.
        filling_cores: Mean cores that one of their tasks declares.
        filling_run_s: Typical run time of a task at full speed.
        filling_images_count: Number of images that these tasks run.
        heavy_share: Share of the pairs of images with heavy interference.
        heavy_press: Utilization that a fully used worker adds to a
            latency-critical task, for a pair with heavy interference.
        light_press: The same for all other pairs.
        batch_jobs_per_s: Arrival rate of short jobs with reserved capacity.
        batch_width: Mean number of tasks of such a job.
        batch_cores: Mean cores that one of their tasks declares.
        batch_run_s: Typical run time of one of their tasks.
        estimate_spread: Standard deviation of the logarithm of the error of
            estimates.
        failing_share: Share of the workers that fail in the middle of the day,
            for a tenth of it.
        worths: Worth of a best-effort job, of 2 s of a latency-critical job and
            of a batch job.
    """

    name: str = ""
    length_s: float = 60.0
    workers_count: int = 11
    worker_cores: float = 16.0
    large_share: float = 0.3
    lasting_jobs_count: int = 8
    lasting_width: int = 6
    lasting_cores: float = 3.0
    lasting_spread_share: float = 0.5
    serving_images_count: int = 4
    load_ratio: float = 0.4
    swing_share: float = 0.5
    swing_s: float = 10.0
    tail_ms: float = 4.0
    target_ms: float = 18.0
    filling_jobs_per_s: float = 0.8
    filling_burst_factor: float = 1.0
    filling_burst_s: tuple[float, float] = (15.0, 20.0)
    filling_steps_mean: float = 2.0
    filling_width: int = 8
    filling_cores: float = 1.8
    filling_run_s: float = 3.0
    filling_images_count: int = 8
    heavy_share: float = 0.5
    heavy_press: float = 5.0
    light_press: float = 0.3
    batch_jobs_per_s: float = 2.0
    batch_width: int = 6
    batch_cores: float = 0.3
    batch_run_s: float = 1.0
    estimate_spread: float = 0.2
    failing_share: float = 0.0
    worths: tuple[float, float, float] = (7.0, 2.0, 0.3)


def load(path: pathlib.Path) -> Load:
    """Reads a load from a TOML file and validates it.

    Raises:
        BadInputError: If the file cannot be read, or a key or its value is
            invalid.
    """
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise errors.BadInputError(f"cannot read {path}: {error}") from error
    fields = {f.name: f for f in dataclasses.fields(Load) if f.name != "name"}
    for key, value in values.items():
        if key not in fields:
            raise errors.BadInputError(
                f"{path}: unknown key {key}: expected one of "
                f"{', '.join(fields)}"
            )
        _validate(path, key, value, fields[key].default)
    values = {
        key: tuple(value) if isinstance(value, list) else value
        for key, value in values.items()
    }
    return Load(name=path.stem, **values)


def find(name: str) -> pathlib.Path:
    """Returns the path of a load, given its name in `FOLDER` or a path."""
    supplied = FOLDER / f"{name}.toml"
    return supplied if supplied.exists() else pathlib.Path(name)


def _validate(path: pathlib.Path, key: str, value: object, default: object):
    if isinstance(default, tuple):
        is_pair = isinstance(value, list) and len(value) == len(default)
        if is_pair and all(_is_non_negative_number(v) for v in value):
            return
        raise errors.BadInputError(
            f"{path}: invalid {key} {value!r}: expected numbers as in "
            f"{list(default)}"
        )
    is_integer = isinstance(default, int)
    if _is_non_negative_number(value) and (
        not is_integer or isinstance(value, int)
    ):
        return
    kind = "an integer" if is_integer else "a number"
    raise errors.BadInputError(
        f"{path}: invalid {key} {value!r}: expected {kind}, 0 or more"
    )


def _is_non_negative_number(value: object) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and value >= 0
