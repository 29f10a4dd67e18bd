"""Loads: what workers there are, what comes, and how tasks really behave.

A load is a TOML file. Its figures describe no deployment; `docs/EXPERIMENTS.md`
says which range they are to cover.
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
        name: Its file's name.
        length_s: How long jobs come; the day goes on for a quarter of it.
        workers_count: How many workers there are.
        worker_cores: Processor time of most workers.
        large_share: Share of the workers with half as much again.
        lasting_jobs_count: Jobs of tasks that last and serve, most of them
            handed in before the day begins.
        lasting_width: Tasks of one.
        lasting_cores: What one of their tasks declares.
        lasting_spread_share: Share of these jobs with a spread limit of 2.
        serving_images_count: Images that these tasks run.
        load_ratio: Share of its own capacity that a serving task has in use.
        swing_share: How far that swings, as a share of itself.
        swing_s: The period of the swing.
        tail_ms: Tail latency of a serving task without load.
        target_ms: What its tail latency should stay below.
        filling_jobs_per_s: Jobs of best-effort tasks.
        filling_burst_factor: Rate of these in the burst, as a factor.
        filling_burst_s: When the burst begins and ends.
        filling_steps_mean: Steps of one.
        filling_width: Tasks of a step.
        filling_cores: What one of their tasks declares.
        filling_run_s: How long a task takes at its whole speed.
        filling_images_count: Images that these tasks run.
        heavy_share: Share of the pairs of images that disturb each other.
        heavy_press: What a whole worker in use adds to the load ratio of a
            serving task, for such a pair.
        light_press: The same for all other pairs.
        batch_jobs_per_s: Quick jobs with room of their own.
        batch_width: Tasks of one.
        batch_cores: What one of their tasks declares.
        batch_run_s: How long one of their tasks takes.
        estimate_spread: How far estimates are off, in units of the logarithm.
        failing_share: Share of the workers that are lost in the middle of the
            day, for a tenth of it.
        worths: Of a best-effort job, of 2 s of a lasting job, of a quick job.
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
    """Reads and checks a load.

    Raises:
        BadInputError: Names the line's key and what would be accepted.
    """
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise errors.BadInputError(f"cannot read {path}: {error}") from error
    fields = {f.name: f for f in dataclasses.fields(Load) if f.name != "name"}
    for key, value in values.items():
        if key not in fields:
            raise errors.BadInputError(
                f"{path}: {key} is not known; accepted are {', '.join(fields)}"
            )
        _check(path, key, value, fields[key].default)
    values = {
        key: tuple(value) if isinstance(value, list) else value
        for key, value in values.items()
    }
    return Load(name=path.stem, **values)


def find(name: str) -> pathlib.Path:
    """A load of this folder by its name, or a file by its path."""
    own = FOLDER / f"{name}.toml"
    return own if own.exists() else pathlib.Path(name)


def _check(path: pathlib.Path, key: str, value: object, default: object):
    if isinstance(default, tuple):
        is_pair = isinstance(value, list) and len(value) == len(default)
        if is_pair and all(_is_amount(v) for v in value):
            return
        raise errors.BadInputError(
            f"{path}: {key} is {value!r}; accepted are numbers as in "
            f"{list(default)}"
        )
    whole = isinstance(default, int)
    if _is_amount(value) and (not whole or isinstance(value, int)):
        return
    kind = "a whole number" if whole else "a number"
    raise errors.BadInputError(
        f"{path}: {key} is {value!r}; accepted is {kind}, 0 or more"
    )


def _is_amount(value: object) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and value >= 0
