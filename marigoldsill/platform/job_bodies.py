"""Decodes jobs from the JSON bodies that clients of the platform send."""

from marigoldsill import errors
from marigoldsill.platform import fields as fields_module
from marigoldsill.protocol.generated import ttypes

_COMMAND_LIMIT_BYTES = 4_000
_STEPS_LIMIT = 1_000
# Maximum number of tasks in one step.
_TASKS_LIMIT = 10_000
# Maximum number of tasks in all steps: each task that has not begun takes 140 bytes of
# memory on every member, so a job of this size takes 7 MB.
_JOB_TASKS_LIMIT = 50_000
_MEGABYTE = 1 << 20
# 2**53 bytes, the limit of all other integers of a body; a record's field holds less
# than 2**63.
_MEMORY_LIMIT_MB = 1 << 33

STATE_NAMES = {
    ttypes.JobState.QUEUED: "queued",
    ttypes.JobState.RUNNING: "running",
    ttypes.JobState.COMPLETED: "completed",
    ttypes.JobState.FAILED: "failed",
    ttypes.JobState.CANCELLED: "cancelled",
}


def decode(body: bytes, *, job_id: str) -> ttypes.Job:
    """Decodes a job.

    Raises:
        BadInputError: The body is not a valid job.
    """
    job = fields_module.decode_json(body, where="the job")
    tables = job.get_tables("steps", required=True)
    if not 0 < len(tables) <= _STEPS_LIMIT:
        raise errors.BadInputError(
            f"the job has {len(tables)} steps; accepted are 1 to {_STEPS_LIMIT}"
        )
    steps = [_decode_step(table, number) for number, table in enumerate(tables)]
    tasks_count = sum(step.tasks_count for step in steps)
    if tasks_count > _JOB_TASKS_LIMIT:
        raise errors.BadInputError(
            f"the job has {tasks_count} tasks in all steps; accepted "
            f"are at most {_JOB_TASKS_LIMIT}"
        )
    return ttypes.Job(
        job_id=job_id,
        queue="",
        # "spec" is what the worker runs; it is not interpreted here.
        command=job.get_string("spec", limit_bytes=_COMMAND_LIMIT_BYTES),
        steps=steps,
        repeat_count=job.get_integer("repeat_count", default=0, high=1_000_000),
        # Not a delay but the time of the first occurrence, since 1970.
        first_due_unix_ms=job.get_integer("initial_delay_ms", default=0),
        interval_ms=job.get_integer("interval_ms", default=0),
    )


def _decode_step(step: fields_module.Fields, number: int) -> ttypes.Step:
    return ttypes.Step(
        tasks_count=step.get_integer("count", low=1, high=_TASKS_LIMIT),
        resources=decode_resources(step),
        estimated_ms=step.get_integer("estimated_ms", default=0),
        after=_decode_dependencies(step, number),
        checkpointing=step.get_boolean("checkpointing"),
        gang=step.get_boolean("gang"),
        same_rack=step.get_boolean("same_rack"),
        # One label, although the name is a plural.
        required_label=step.get_string("requirements", default=""),
        # The rack that holds the data.
        preferred_rack=step.get_string("affinity", default=""),
        # The maximum number of tasks of the step on one worker.
        spread_limit=step.get_integer(
            "anti_affinity", default=0, high=_TASKS_LIMIT
        ),
        speculative=step.get_boolean("speculative"),
        long_running=step.get_boolean("long_running"),
        image=step.get_string("image", default=""),
        tail_target_ms=step.get_integer("target_ms", default=0),
        best_effort=step.get_boolean("fills"),
        absent_limit=step.get_integer(
            "miss_tolerance", default=0, high=_TASKS_LIMIT
        ),
    )


def _decode_dependencies(step: fields_module.Fields, number: int) -> list[int]:
    """Decodes the numbers of the steps that must be done before a step."""
    earlier = step.get_list("after")
    is_valid = all(
        isinstance(e, int) and not isinstance(e, bool) and 0 <= e < number
        for e in earlier
    )
    if not is_valid:
        raise errors.BadInputError(
            f"after of step {number} is {earlier!r}; accepted are "
            "numbers of earlier steps"
        )
    return earlier


def decode_resources(
    table: fields_module.Fields, *, required: bool = False
) -> ttypes.Resources:
    """Decodes a task's request or a worker's capacity.

    Args:
        table: The table that has the fields.
        required: Whether each field must be present.
    """
    default = None if required else 0
    return ttypes.Resources(
        # "cpu" is in thousandths of a core.
        cpu_millicores=table.get_integer("cpu", default=default),
        memory_bytes=_MEGABYTE
        * table.get_integer("mem_mb", default=default, high=_MEMORY_LIMIT_MB),
        accelerators_count=table.get_integer(
            "gpu", default=default, high=1 << 20
        ),
    )
