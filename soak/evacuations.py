"""An operator that evacuates a data centre from time to time."""

import dataclasses
import random
import time
import typing

from soak import time_spans

if typing.TYPE_CHECKING:
    from soak import workload as workload_module

# The time before each evacuation, and how long it lasts. The soak checks the starts of
# the last seconds of each.
_PAUSES_S = (1.0, 5.0)
_DURATIONS_S = (10.0, 14.0)
# The attempts outlast the longest loss of power of all machines.
_ATTEMPTS_COUNT = 300
_CALL_INTERVAL_S = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Evacuation:
    """An acknowledged evacuation of a data centre.

    Attributes:
        data_centre: The data centre.
        span: From the acknowledgement until its end was first requested.
    """

    data_centre: str
    span: time_spans.Span


def evacuate_repeatedly(
    workload: "workload_module.Workload", data_centre: str, number: int
) -> None:
    """Evacuates a data centre, if there is one, until the workload stops."""
    numbers = random.Random(f"{workload.seed} {number}")
    while data_centre and not workload.stopping.wait(
        numbers.uniform(*_PAUSES_S)
    ):
        is_started = _send_order(workload, "Start", data_centre, numbers)
        started_ns = time.monotonic_ns()
        workload.stopping.wait(numbers.uniform(*_DURATIONS_S))
        span = time_spans.Span(started_ns, time.monotonic_ns())
        if is_started:
            workload.evacuations.append(Evacuation(data_centre, span))
        if not _send_order(workload, "Finish", data_centre, numbers):
            workload.violations.append(
                f"the end of the evacuation of {data_centre} was never "
                "acknowledged"
            )


def _send_order(
    workload: "workload_module.Workload",
    verb: str,
    data_centre: str,
    numbers: random.Random,
) -> bool:
    """Sends an order until it is acknowledged; returns whether it was."""
    for _ in range(_ATTEMPTS_COUNT):
        answer = workload.system.call_as_operator(
            "POST",
            f"Evacuations.{verb}/{data_centre}",
            edge=numbers.choice(workload.system.running_edges()),
        )
        if answer.status == 200:
            return True
        if 400 <= answer.status < 500:
            workload.violations.append(
                f"{verb} of an evacuation was refused with {answer.status}"
            )
        time.sleep(_CALL_INTERVAL_S)
    return False
