"""Tests of the quotas of best-effort tasks beside a latency-critical one."""

from marigoldsill.coordination.cpu_throttling import cpu_throttle
from marigoldsill.protocol.generated import ttypes

_CAPACITY_MILLICORES = 32_000
_TARGET_MS = 100
_LATENCY_CRITICAL_KEY = ("desk.0.0.0", 1)


class _Worker:
    """A worker with one latency-critical task and some best-effort tasks."""

    def __init__(self, **best_effort: str):
        """Initializes the worker.

        Args:
            **best_effort: The image of each best-effort task, by the task's name.
        """
        self.throttle = cpu_throttle.CpuThrottle()
        self.now_s = 100.0
        self.orders = {
            _LATENCY_CRITICAL_KEY: ttypes.RunOrder(
                task=_LATENCY_CRITICAL_KEY[0],
                run=1,
                image="desk",
                tail_target_ms=_TARGET_MS,
            )
        }
        self.keys = {name: (f"{name}.0.0.0", 1) for name in best_effort}
        for name, image in best_effort.items():
            self.orders[self.keys[name]] = ttypes.RunOrder(
                task=self.keys[name][0],
                run=1,
                image=image,
                best_effort=True,
                cpu_millicores=3_200,
            )

    def sample(self, tail_ms: int) -> dict[str, int]:
        """Updates the throttle with samples; returns the quotas by name.

        Args:
            tail_ms: The tail latency of the latency-critical task.
        """
        running = {
            key: ttypes.RunSample(
                task=key[0],
                run=1,
                percent=50,
                load=tail_ms
                if key == _LATENCY_CRITICAL_KEY
                else self._used_millicores(key),
            )
            for key in self.orders
        }
        self.now_s += 1.0
        self.throttle.update(
            self.orders,
            running,
            capacity_millicores=_CAPACITY_MILLICORES,
            now_s=self.now_s,
        )
        return {n: self.throttle.percent(k) for n, k in self.keys.items()}

    def _used_millicores(self, key: tuple[str, int]) -> int:
        percent = self.throttle.percent(key)
        return self.orders[key].cpu_millicores * percent // 100


def test_no_task_is_throttled_while_tails_are_low() -> None:
    worker = _Worker(f1="heavy", f2="light")
    assert worker.sample(tail_ms=20) == {"f1": 100, "f2": 100}


def test_task_that_interferes_most_is_throttled_first() -> None:
    worker = _Worker(f1="heavy", f2="light")
    worker.throttle.interference_by_pair = {
        ("desk", "heavy"): 0.2,
        ("desk", "light"): 0.01,
    }
    quotas = worker.sample(tail_ms=170)
    assert quotas["f1"] < 70
    assert quotas["f2"] == 100


def test_tasks_are_throttled_no_more_than_needed() -> None:
    worker = _Worker(f1="heavy", f2="heavy")
    worker.throttle.interference_by_pair = {("desk", "heavy"): 0.2}
    quotas = worker.sample(tail_ms=80)
    assert sum(quotas.values()) > 100


def test_task_of_an_unknown_image_stops_when_a_high_tail_is_unexplained() -> (
    None
):
    worker = _Worker(f1="unknown", f2="light")
    worker.throttle.interference_by_pair = {("desk", "light"): 0.005}
    assert worker.sample(tail_ms=300) == {"f1": 0, "f2": 50}


def test_quota_rises_in_steps_once_tails_are_low() -> None:
    worker = _Worker(f1="unknown")
    worker.sample(tail_ms=300)
    quotas = [worker.sample(tail_ms=20)["f1"] for _ in range(5)]
    assert quotas == sorted(quotas)
    assert 0 < quotas[0] <= 25
    assert quotas[-1] == 100


def test_unexplained_high_tail_reduces_a_light_task_only_once() -> None:
    worker = _Worker(f1="light")
    worker.throttle.interference_by_pair = {("desk", "light"): 0.001}
    worker.sample(tail_ms=120)
    assert worker.sample(tail_ms=40)["f1"] > 50


def test_task_of_an_unknown_image_starts_with_a_low_quota() -> None:
    worker = _Worker(f1="unknown", f2="light")
    worker.throttle.interference_by_pair = {("desk", "light"): 0.005}
    initial = {
        name: worker.throttle.initial_percent(worker.orders[key], {"desk"})
        for name, key in worker.keys.items()
    }
    assert initial == {"f1": 25, "f2": 100}


def test_tasks_run_at_full_speed_without_a_latency_critical_one() -> None:
    worker = _Worker(f1="heavy")
    worker.throttle.interference_by_pair = {("desk", "heavy"): 0.2}
    worker.sample(tail_ms=300)
    del worker.orders[_LATENCY_CRITICAL_KEY]
    quotas = [worker.sample(tail_ms=0)["f1"] for _ in range(5)]
    assert quotas[-1] == 100


def test_rising_load_reduces_the_quota_before_the_tail_is_high() -> None:
    def quota_at_92_ms(*tails_ms: int) -> int:
        worker = _Worker(f1="heavy")
        worker.throttle.interference_by_pair = {("desk", "heavy"): 0.2}
        for tail_ms in tails_ms:
            worker.sample(tail_ms=tail_ms)
        return worker.sample(tail_ms=92)["f1"]

    assert quota_at_92_ms(61, 71, 81) < quota_at_92_ms(92, 92, 92)
