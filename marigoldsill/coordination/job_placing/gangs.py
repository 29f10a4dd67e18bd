"""Steps whose tasks work only together: all begin at once, or none does."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import itertools

from marigoldsill.coordination.job_placing import evictions
from marigoldsill.coordination.job_placing import rooms as rooms_module
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables


def groups(
    step: ttypes.Step, rooms: Sequence[rooms_module.Room]
) -> Iterator[list[rooms_module.Room]]:
    """Sets of workers to try for a whole gang, the best first.

    A gang that is slower across racks is put on one rack where it fits, the
    one with the most processor time left first.
    """
    if step.same_rack:
        by_rack = sorted(rooms, key=lambda room: room.worker.rack)
        racks = [
            list(group)
            for _, group in itertools.groupby(
                by_rack, key=lambda room: room.worker.rack
            )
        ]
        yield from sorted(racks, key=_left_millicores, reverse=True)
    yield list(rooms)


def incomplete(
    jobs: job_tables.JobTables, job_ids: Iterable[str]
) -> list[evictions.Eviction]:
    """Runs of gangs some members of which are away.

    They could only wait for the others, so they have to give way until the
    whole gang begins again.
    """
    return [
        run
        for job_id in job_ids
        if (record := jobs.jobs.get(job_id)) is not None
        and record.state not in job_tables.ENDED
        for occurrence in record.open
        for number, step in enumerate(record.job.steps)
        if step.gang
        for run in _runs_of_incomplete(job_id, occurrence, number)
    ]


def _runs_of_incomplete(
    job_id: str, occurrence: ttypes.Occurrence, number: int
) -> list[evictions.Eviction]:
    tasks = occurrence.steps[number].tasks
    if all(task.runs or task.done for task in tasks):
        return []
    return [
        evictions.Eviction(
            key=(
                task_names.name_of(job_id, occurrence.number, number, index),
                run.run,
            ),
            agent=run.agent,
        )
        for index, task in enumerate(tasks)
        for run in task.runs
    ]


def _left_millicores(rooms: Sequence[rooms_module.Room]) -> int:
    return sum(room.cpu_millicores for room in rooms)
