"""First starts in which the process that would form the group is killed.

`python -m tests.platform.killed_founder --moments 40 --seeds 3` kills it at 40 moments
from 0 to 2 s after its start and prints the time until a configuration is accepted.
"""

import argparse
import functools
import itertools
import operator
import pathlib
import random
import sys
import tempfile
import time

from marigoldsill.state import vote
from tests import one_process
from tests.platform import system as system_module

ACCEPTANCE_LIMIT_S = 15.0
_FOUNDER = "edge-1"
_LAST_MOMENT_S = 2.0
# All machines start within this time; a killed process is back a short time later.
_START_SPREAD_S = 0.3
_RESTART_DELAY_S = (0.3, 1.0)


def measure_acceptance_s(
    folder: pathlib.Path,
    *,
    killed_after_s: float | None,
    seed: int,
    stateless_first_seed: bool = False,
) -> float:
    """Kills one process at a first start, and waits until all agree.

    Args:
        folder: The folder for logs, settings and state.
        killed_after_s: Time in seconds from the start of the process to its kill;
            None to kill it as soon as it has begun to form the group.
        seed: Determines the order of the starts and the time of the restart.
        stateless_first_seed: Whether the first seed has no disk, so that the first
            process that asks it forms the group.

    Returns:
        Time in seconds from the first start until a configuration was accepted.
    """
    numbers = random.Random(seed)
    system = system_module.System(
        folder, stateless_edges_count=int(stateless_first_seed)
    )
    edges = system.member_names()
    delays_s = {edge: numbers.uniform(0, _START_SPREAD_S) for edge in edges}
    if stateless_first_seed:
        system.change_seeds("edge-4", "edge-1", "edge-2")
        delays_s |= {"edge-4": 0.0, _FOUNDER: 0.0}
    restart_delay_s = numbers.uniform(*_RESTART_DELAY_S)
    began_s = time.monotonic()
    try:
        _start_and_kill(system, delays_s, killed_after_s)
        time.sleep(restart_delay_s)
        system.clear_first_start()
        system.start_edge(_FOUNDER)
        configuration = system.replace_configuration(1)
        accepted_s = time.monotonic() - began_s
        for edge in delays_s:
            _wait_for_configuration(system, edge, configuration)
    finally:
        system.stop()
    return accepted_s


def _start_and_kill(
    system: system_module.System,
    delays_s: dict[str, float],
    killed_after_s: float | None,
) -> None:
    """Starts all processes after their delays, and kills the founder."""
    events = [
        (delay_s, functools.partial(system.start_edge, edge))
        for edge, delay_s in delays_s.items()
    ]
    kill = functools.partial(system.kill, _FOUNDER)
    if killed_after_s is not None:
        events.append((delays_s[_FOUNDER] + killed_after_s, kill))
    began_s = time.monotonic()
    for moment_s, act in sorted(events, key=operator.itemgetter(0)):
        time.sleep(max(0.0, began_s + moment_s - time.monotonic()))
        act()
    if killed_after_s is None:
        one_process.wait_until(
            (system.data_folder(_FOUNDER) / vote.FILE_NAME).exists,
            what="the founder's state",
            poll_s=0.001,
        )
        kill()


def _wait_for_configuration(
    system: system_module.System, edge: str, configuration: dict
) -> None:
    def is_read() -> bool:
        answer = system.call_as_operator("GET", "Config.Describe", edge=edge)
        assert answer.status in (0, 200, 503)
        return answer.status == 200 and answer.value == configuration

    one_process.wait_until(is_read, what=f"the configuration at {edge}")


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--moments", type=int, default=40)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--stateless-first-seed", action="store_true")
    parser.add_argument("--folder", type=pathlib.Path, default=None)
    return parser.parse_args()


def main() -> int:
    """Runs all moments with all seeds; returns the number of failures."""
    arguments = _parse_arguments()
    folder = arguments.folder or pathlib.Path(tempfile.mkdtemp())
    seeds = range(arguments.first_seed, arguments.first_seed + arguments.seeds)
    measured_s, failures_count = [], 0
    for number, seed in itertools.product(range(arguments.moments), seeds):
        killed_after_s = _LAST_MOMENT_S * number / max(arguments.moments - 1, 1)
        run_folder = folder / f"{number}-{seed}"
        run_folder.mkdir(parents=True)
        try:
            accepted_s = measure_acceptance_s(
                run_folder,
                killed_after_s=killed_after_s,
                seed=seed,
                stateless_first_seed=arguments.stateless_first_seed,
            )
        except AssertionError as error:
            accepted_s = float("inf")
            print(error, flush=True)
        failures_count += accepted_s > ACCEPTANCE_LIMIT_S
        measured_s.append(accepted_s)
        print(
            f"killed_after_s={killed_after_s:.2f} seed={seed} "
            f"accepted_s={accepted_s:.1f}",
            flush=True,
        )
    print(f"runs={len(measured_s)} longest_s={max(measured_s):.1f}", end=" ")
    print(f"failures={failures_count} logs={folder}")
    return failures_count


if __name__ == "__main__":
    sys.exit(main() > 0)
