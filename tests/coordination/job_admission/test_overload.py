"""Plays overloads on a virtual clock and checks what callers get."""

import collections
import random

from marigoldsill.coordination.job_admission import admission_settings
from marigoldsill.coordination.job_admission import causes
from tests.coordination.job_admission import overload_play
from tests.coordination.job_placing import leader_harness
from tests.coordination.jobs import builders

_WORKERS_COUNT = 2
_CORES_COUNT = 8 * _WORKERS_COUNT
# Longer than a new leader accepts everything.
_BEGIN_S = 12.0
_BURST_S = 10.0
_LENGTH_S = 110.0
# The objective of a quick job is 2 s; bulk jobs are of use for two minutes.
_QUICK_OBJECTIVE_S, _QUICK_USEFUL_S = 2.0, 6.0
_BULK_OBJECTIVE_S = 41.0
_QUEUES = (
    builders.queue("bulk", stretch_ratio=20.0, latency_target_ms=1_000),
    builders.queue(
        "quick", stretch_ratio=2.0, latency_target_ms=1_000, priority=1
    ),
)


def _arrivals(seed: int = 1) -> list[overload_play.Arrival]:
    """Returns arrivals of over three times the capacity, with wrong estimates."""
    numbers = random.Random(seed)
    return [
        arrival
        for queue, rate_per_s, tasks_count, run_s in (
            ("bulk", 1.6, 8, 2.0),
            ("quick", 4.0, 1, 0.5),
        )
        for arrival in _arrivals_of(
            numbers, queue, rate_per_s, tasks_count, run_s
        )
    ]


def _arrivals_of(
    numbers: random.Random,
    queue: str,
    rate_per_s: float,
    tasks_count: int,
    run_s: float,
) -> list[overload_play.Arrival]:
    step = builders.step(
        tasks_count,
        estimated_ms=int(run_s * 1_000),
        resources=leader_harness.resources(2),
    )
    return [
        overload_play.Arrival(
            at_s=_BEGIN_S + number / rate_per_s,
            queue=queue,
            job=builders.job(f"{numbers.getrandbits(64):016x}", step),
            run_s=run_s * numbers.uniform(0.6, 1.4),
        )
        for number in range(round(_BURST_S * rate_per_s))
    ]


def _play(
    arrivals: list[overload_play.Arrival], **settings: object
) -> overload_play.Play:
    play = overload_play.Play(
        _QUEUES,
        workers_count=_WORKERS_COUNT,
        settings=admission_settings.AdmissionSettings(**settings),
    )
    play.run(arrivals, length_s=_LENGTH_S)
    return play


def _count_in_time(
    play: overload_play.Play, arrivals: list[overload_play.Arrival]
) -> int:
    objectives_s = {"quick": _QUICK_OBJECTIVE_S, "bulk": _BULK_OBJECTIVE_S}
    return sum(
        play.callers[a.job.job_id].is_done_within(objectives_s[a.queue])
        for a in arrivals
    )


def test_the_load_is_over_three_times_the_capacity() -> None:
    core_s = sum(a.job.steps[0].tasks_count * 2 * a.run_s for a in _arrivals())
    assert core_s > 3 * _CORES_COUNT * _BURST_S


def test_only_callers_whose_job_would_be_of_no_use_are_rejected() -> None:
    arrivals = _arrivals()
    play = _play(arrivals)
    unlimited = _play(arrivals, is_enabled=False)
    rejected = [j for j, c in play.callers.items() if c.rejections]
    assert len(rejected) >= 15
    assert all(
        not unlimited.callers[job_id].is_done_within(_QUICK_USEFUL_S)
        for job_id in rejected
    )
    assert all(
        rejection.reason is causes.Reason.TOO_LATE
        for job_id in rejected
        for rejection in play.callers[job_id].rejections
    )


def test_estimates_that_are_too_long_reject_no_job_that_would_be_of_use() -> (
    None
):
    """Guards against rejections before anything is known of a queue's run times."""
    numbers = random.Random(1)
    arrivals = _arrivals_of(numbers, "bulk", 100.0, 8, 2.0)[:3]
    arrivals += _arrivals_of(numbers, "quick", 4.0, 1, 0.5)
    for arrival in arrivals[:3]:
        arrival.job.steps[0].estimated_ms *= 4
    play = _play(arrivals)
    unlimited = _play(arrivals, is_enabled=False)
    assert not [
        job_id
        for job_id, caller in play.callers.items()
        if caller.rejections
        and unlimited.callers[job_id].is_done_within(_QUICK_USEFUL_S)
    ]


def test_admission_leaves_no_fewer_jobs_in_time() -> None:
    arrivals = _arrivals()
    play = _play(arrivals)
    unlimited = _play(arrivals, is_enabled=False)
    in_time_count = _count_in_time(play, arrivals)
    assert in_time_count >= _count_in_time(unlimited, arrivals)
    # Some callers return when their job is of use.
    useful = [
        caller
        for caller in play.callers.values()
        if caller.rejections and caller.is_done_within(_QUICK_USEFUL_S)
    ]
    assert useful


def test_callers_return_spread_over_time() -> None:
    play = _play(_arrivals())
    returns_s = [
        time_s
        for caller in play.callers.values()
        for time_s in caller.submitted_s[1:]
    ]
    by_second = collections.Counter(int(time_s) for time_s in returns_s)
    assert len(returns_s) >= 15
    assert max(by_second.values()) <= len(returns_s) / 4


def test_a_bound_holds_and_returning_callers_go_before_new_arrivals() -> None:
    limit = 8
    arrivals = _arrivals()
    play = _play(arrivals, waiting_jobs_limit=limit)
    assert play.max_waiting_count <= limit
    first_tries = [bool(c.rejections) for c in play.callers.values()]
    returns = [
        len(c.rejections) > number
        for c in play.callers.values()
        for number in range(1, len(c.submitted_s))
        if _BEGIN_S <= c.submitted_s[number] <= _BEGIN_S + _BURST_S
    ]
    assert sum(first_tries) >= 20
    assert len(returns) >= 10
    # While new callers arrive, those that return are rejected less often.
    assert sum(returns) / len(returns) < sum(first_tries) / len(first_tries)
