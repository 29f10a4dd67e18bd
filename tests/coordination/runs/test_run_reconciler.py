"""Tests of an agent's run reconciler with a stand-in worker."""

from collections.abc import Iterator
import json
import pathlib
import time

import pytest

from marigoldsill import errors
from marigoldsill.coordination.runs import lease_renewer
from marigoldsill.coordination.runs import run_reconciler
from marigoldsill.protocol import worker_interface
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import http_client
from standins import journal as journal_module
from standins import worker as worker_module
from tests import invariants
from tests import processes

TERM = 3
LEASE_MS = 3000
GIB = 1 << 30
EventKind = ttypes.RunEventKind
_END_KINDS = (
    EventKind.STOPPED,
    EventKind.COMPLETED,
    EventKind.FAILED,
    EventKind.LOST,
    EventKind.REFUSED,
)


class CountingHttpWorker(worker_interface.HttpWorker):
    """A client of the worker that counts calls and may fail repeated starts."""

    listings_count = 0
    starts_count = 0
    repeat_error: errors.MarigoldsillError | None = None
    # Raised after the first start was carried out.
    first_start_error: errors.MarigoldsillError | None = None
    # Lists without runs are delivered no earlier than this.
    empty_list_delayed_until_s = 0.0

    def start(self, spec: worker_interface.StartSpec) -> None:
        self.starts_count += 1
        if self.repeat_error is not None and self.starts_count > 1:
            raise self.repeat_error
        super().start(spec)
        if self.first_start_error is not None and self.starts_count == 1:
            raise self.first_start_error

    def tasks(self) -> list[worker_interface.PlatformTask]:
        self.listings_count += 1
        listed = super().tasks()
        if not listed:
            time.sleep(
                max(0.0, self.empty_list_delayed_until_s - time.monotonic())
            )
        return listed


class ReconcilerHarness:
    """A stand-in worker and its reconciler; the test acts as control."""

    def __init__(self, path: pathlib.Path):
        self.path = path
        self.worker = worker_module.Worker(
            name="worker-1",
            cpu_millicores=8000,
            memory_bytes=8 * GIB,
            accelerators_count=0,
            journal=journal_module.Journal(str(path)),
        )
        self.worker.start()
        self.worker_client = CountingHttpWorker(
            base_url=f"http://{self.worker.address}"
        )
        self.orders_version = 0
        self.lease_ms = LEASE_MS
        self.recorded_events: list[ttypes.RunEvent] = []
        self.reconciler = self.start_reconciler()
        # Runs in the first orders count as possibly started by an earlier agent.
        self.send_orders()

    def start_reconciler(self) -> run_reconciler.RunReconciler:
        """Starts a reconciler without state, as after a restart of the agent."""
        reconciler = run_reconciler.RunReconciler(
            worker=self.worker_client, checkpoint_interval_s=0.3
        )
        reconciler.start()
        self.reconciler = reconciler
        return reconciler

    def grant_lease(self) -> None:
        """Grants a lease for the orders in force."""
        self.reconciler.update_lease(
            lease_renewer.AgentLease(
                end_ns=time.monotonic_ns() + self.lease_ms * 1_000_000,
                length_ms=self.lease_ms,
                term=TERM,
                min_orders_version=self.orders_version,
            )
        )

    def send_orders(self, *orders: ttypes.Order) -> None:
        """Sends complete orders and a lease that covers them."""
        self.orders_version += 1
        self.reconciler.update_orders(TERM, self.orders_version, list(orders))
        self.grant_lease()

    def record_events(self) -> list[ttypes.RunEvent]:
        """Records the pending events, as control does, and returns them."""
        events = self.reconciler.pending_events(limit=100)
        self.recorded_events += events
        self.reconciler.acknowledge([event.event_id for event in events])
        return events

    def wait_for_event(self, kind: int, *, task: str = "rebuild/0") -> None:
        """Waits until an event of a kind is recorded; renews the lease meanwhile."""

        def is_recorded() -> bool:
            self.grant_lease()
            self.record_events()
            return any(
                e.kind == kind and e.task == task for e in self.recorded_events
            )

        processes.wait_until(
            is_recorded, limit_s=20.0, what=f"{kind!r} of {task}"
        )

    def wait_for_end(self) -> int:
        """Waits until an end is recorded and returns its kind; renews the lease."""

        def recorded_end() -> int | None:
            self.grant_lease()
            self.record_events()
            kinds = (e.kind for e in self.recorded_events)
            return next((k for k in kinds if k in _END_KINDS), None)

        processes.wait_until(recorded_end, limit_s=20.0, what="an end")
        return recorded_end()

    def wait_for_listings(self, count: int) -> None:
        """Waits until the worker's task list was read more than `count` times."""
        initial_count = self.worker_client.listings_count
        processes.wait_until(
            lambda: self.worker_client.listings_count > initial_count + count
        )

    def run_states(self) -> dict[tuple[str, int], str]:
        """Returns the state of each run that the worker lists."""
        return {(t.task, t.epoch): t.state for t in self.worker_client.tasks()}

    def journal_events(self, event: str) -> list[dict]:
        """Returns the events of a name in the worker's journal."""
        lines = journal_module.read(self.path)
        return [line for line in lines if line["event"] == event]

    def close(self) -> None:
        """Stops the reconciler and the worker, and checks the journal."""
        self.reconciler.stop()
        self.worker.stop()
        invariants.assert_hold([self.path])


@pytest.fixture
def harness(tmp_path: pathlib.Path) -> Iterator[ReconcilerHarness]:
    created = ReconcilerHarness(tmp_path / "worker-1.journal")
    yield created
    created.close()


def make_order(
    task: str = "rebuild/0",
    *,
    epoch: int = 1,
    desire: int = ttypes.Desire.RUN,
    cores: int = 4,
    run_time_ms: int = 60_000,
    started: bool = False,
) -> ttypes.Order:
    return ttypes.Order(
        task=task,
        epoch=epoch,
        desire=desire,
        kind=ttypes.Kind.BATCH_JOB,
        resources=ttypes.Resources(
            cpu_millicores=cores * 1000, memory_bytes=GIB
        ),
        owner=task.partition("/")[0],
        run_time_ms=run_time_ms,
        started=started,
        checkpointable=True,
    )


def test_run_starts_once_despite_repeated_orders(
    harness: ReconcilerHarness,
) -> None:
    for _ in range(5):
        harness.send_orders(make_order())
    harness.wait_for_event(EventKind.STARTED)
    harness.send_orders(make_order(started=True))
    harness.wait_for_event(EventKind.CHECKPOINTED)

    assert len(harness.journal_events("run_started")) == 1


@pytest.mark.parametrize(
    ("term", "version"), [(TERM - 1, 99), (TERM, 1)], ids=["leader", "order"]
)
def test_outdated_orders_are_refused(
    harness: ReconcilerHarness, term: int, version: int
) -> None:
    harness.send_orders(make_order())
    harness.wait_for_event(EventKind.STARTED)

    assert not harness.reconciler.update_orders(term, version, [])
    harness.wait_for_event(EventKind.CHECKPOINTED)

    assert harness.run_states() == {("rebuild/0", 1): "running"}


def test_orders_older_than_the_lease_start_no_run(
    harness: ReconcilerHarness,
) -> None:
    old_version = harness.orders_version
    harness.orders_version += 1
    harness.grant_lease()
    harness.reconciler.update_orders(TERM, old_version, [make_order()])
    harness.wait_for_listings(2)
    harness.send_orders(make_order("other/0"))
    harness.wait_for_event(EventKind.STARTED, task="other/0")

    started = [e["task"] for e in harness.journal_events("run_started")]
    assert started == ["other/0"]


def test_no_run_is_started_after_the_lease_has_expired(
    harness: ReconcilerHarness,
) -> None:
    harness.reconciler.renewer.update_lease(
        lease_renewer.AgentLease(
            end_ns=time.monotonic_ns(), length_ms=1, term=TERM + 1
        )
    )
    harness.reconciler.update_orders(TERM + 1, 1, [make_order()])
    harness.wait_for_listings(2)

    assert harness.run_states() == {}
    assert not harness.journal_events("start_refused")


def test_worker_refuses_a_start_after_the_lease_has_expired(
    harness: ReconcilerHarness,
) -> None:
    body = {
        "task": "rebuild/0",
        "epoch": 1,
        "lease_end_ns": time.monotonic_ns() - 1,
    }
    response = http_client.fetch(
        f"http://{harness.worker.address}/start",
        method="POST",
        body=json.dumps(body).encode(),
        timeout_s=5.0,
    )

    assert response.status_code == 410
    assert harness.run_states() == {}


def test_renewal_after_expiry_does_not_keep_a_run(
    harness: ReconcilerHarness,
) -> None:
    harness.send_orders(make_order())
    harness.wait_for_event(EventKind.STARTED)
    end_ns = harness.reconciler.renewer.lease.end_ns
    harness.reconciler.stop()
    processes.wait_until(lambda: time.monotonic_ns() > end_ns)
    harness.worker_client.renew(lease_end_ns=time.monotonic_ns() + 10**10)

    assert harness.run_states() == {("rebuild/0", 1): "stopped"}


def test_run_that_does_not_fit_the_worker_is_refused(
    harness: ReconcilerHarness,
) -> None:
    harness.send_orders(make_order(cores=6), make_order("other/0", cores=3))
    harness.wait_for_event(EventKind.REFUSED, task="other/0")

    assert list(harness.run_states()) == [("rebuild/0", 1)]


def test_reduced_capacity_is_read_before_a_refusal(
    harness: ReconcilerHarness,
) -> None:
    harness.send_orders(make_order())
    harness.wait_for_event(EventKind.STARTED)
    harness.worker.resize(cpu_millicores=6000)
    harness.send_orders(make_order(started=True), make_order("other/0"))
    harness.wait_for_event(EventKind.REFUSED, task="other/0")
    harness.send_orders(
        make_order(started=True), make_order("third/0", cores=8)
    )
    harness.wait_for_event(EventKind.REFUSED, task="third/0")

    assert harness.reconciler.worker_capacity.total.cpu_millicores == 6000


def test_run_is_throttled_and_unthrottled(harness: ReconcilerHarness) -> None:
    harness.send_orders(make_order())
    harness.wait_for_event(EventKind.STARTED)
    for desire, throttled in (
        (ttypes.Desire.THROTTLE, True),
        (ttypes.Desire.RUN, False),
    ):
        harness.send_orders(make_order(started=True, desire=desire))
        processes.wait_until(
            lambda throttled=throttled: (
                [t.throttled for t in harness.worker_client.tasks()]
                == [throttled]
            ),
            what=f"throttled {throttled}",
        )


def test_start_waits_for_a_stopping_run_instead_of_being_refused(
    harness: ReconcilerHarness,
) -> None:
    harness.send_orders(make_order(cores=8))
    harness.wait_for_event(EventKind.STARTED)
    harness.send_orders(make_order("other/0", cores=8))
    harness.wait_for_event(EventKind.STARTED, task="other/0")

    kinds = [e.kind for e in harness.recorded_events if e.task == "other/0"]
    assert kinds[0] == EventKind.STARTED


def test_next_epoch_starts_only_after_the_previous_one_stopped(
    harness: ReconcilerHarness,
) -> None:
    harness.send_orders(make_order())
    harness.wait_for_event(EventKind.STARTED)
    harness.worker.faults.update({"late_ms": {"stop": 300}})
    harness.send_orders(make_order(epoch=2))
    processes.wait_until(
        lambda: harness.run_states().get(("rebuild/0", 2)) == "running"
    )


def test_evicted_run_stops_only_after_its_checkpoint_is_recorded(
    harness: ReconcilerHarness,
) -> None:
    harness.send_orders(make_order())
    harness.wait_for_event(EventKind.STARTED)
    harness.send_orders(
        make_order(started=True, desire=ttypes.Desire.CHECKPOINT_AND_STOP)
    )
    processes.wait_until(
        lambda: any(
            e.kind == EventKind.CHECKPOINTED
            for e in harness.reconciler.pending_events(limit=9)
        )
    )
    harness.grant_lease()
    assert harness.run_states() == {("rebuild/0", 1): "running"}
    harness.wait_for_event(EventKind.STOPPED)

    recorded = [(e.kind, e.checkpoint_id) for e in harness.recorded_events]
    last = [c for kind, c in recorded if kind == EventKind.CHECKPOINTED][-1]
    assert recorded[-1] == (EventKind.STOPPED, last)
    processes.wait_until(lambda: harness.run_states() == {}, what="forgotten")


@pytest.mark.parametrize(
    "faults",
    [{"checkpoints_fail": True}, {"hangs": ["checkpoint"]}],
    ids=["fails", "hangs"],
)
def test_run_is_evicted_in_time_if_its_checkpoint(
    harness: ReconcilerHarness, faults: dict
) -> None:
    harness.send_orders(make_order(), make_order("other/0"))
    harness.wait_for_event(EventKind.STARTED)
    harness.wait_for_event(EventKind.STARTED, task="other/0")
    harness.worker.faults.update(faults)
    harness.send_orders(
        make_order(started=True, desire=ttypes.Desire.CHECKPOINT_AND_STOP),
        make_order("other/0", started=True),
    )
    harness.wait_for_event(EventKind.STOPPED)

    # The lease of the other run was renewed meanwhile.
    assert harness.run_states()["other/0", 1] == "running"


def test_start_that_may_still_take_effect_is_not_reported_lost(
    harness: ReconcilerHarness,
) -> None:
    harness.worker.faults.update({"late_ms": {"start": 2500}})
    harness.send_orders(make_order())
    processes.wait_until(harness.reconciler._operations.unconfirmed_starts)
    harness.send_orders(make_order(desire=ttypes.Desire.STOP))
    harness.wait_for_event(EventKind.STOPPED)

    assert EventKind.LOST not in [e.kind for e in harness.recorded_events]


def test_large_run_is_not_refused_beside_its_own_unanswered_start(
    harness: ReconcilerHarness,
) -> None:
    harness.worker.faults.update({"late_ms": {"start": 2500}})
    harness.send_orders(make_order(cores=6, run_time_ms=1))

    assert harness.wait_for_end() == EventKind.COMPLETED


@pytest.mark.parametrize(
    "error",
    [
        errors.CapacityError("does not fit"),
        errors.PlatformError("start failed"),
        errors.TransportError("no connection", sent=False),
    ],
    ids=["capacity", "platform", "connection"],
)
def test_run_with_an_unanswered_start_has_not_ended_if_a_repeat_fails(
    harness: ReconcilerHarness, error: errors.MarigoldsillError
) -> None:
    harness.lease_ms = 5000
    harness.worker.faults.update({"late_ms": {"start": 3000}})
    harness.worker_client.repeat_error = error
    harness.send_orders(make_order())
    processes.wait_until(lambda: harness.worker_client.starts_count > 1)
    harness.send_orders(make_order(desire=ttypes.Desire.STOP))

    assert harness.wait_for_end() == EventKind.STOPPED
    assert len(harness.journal_events("run_started")) == 1


def test_run_that_began_although_its_start_had_an_unexpected_status_completes(
    harness: ReconcilerHarness,
) -> None:
    """Guards against a task that is placed again beside its live run."""
    harness.worker_client.first_start_error = errors.UnexpectedStatusError(
        "/start gave 502"
    )
    harness.send_orders(make_order(run_time_ms=1))

    assert harness.wait_for_end() == EventKind.COMPLETED


def test_run_that_started_after_the_list_was_read_is_not_reported_lost(
    harness: ReconcilerHarness,
) -> None:
    harness.worker.faults.update({"late_ms": {"start": 2500}})
    harness.worker_client.repeat_error = errors.TransportError(
        "no connection", sent=False
    )
    harness.send_orders(make_order())
    lease_end_s = harness.reconciler.renewer.lease.end_ns / 1e9
    processes.wait_until(lambda: harness.worker_client.starts_count > 1)
    harness.worker_client.empty_list_delayed_until_s = lease_end_s + 0.1
    harness.send_orders(make_order(desire=ttypes.Desire.STOP))

    assert harness.wait_for_end() == EventKind.STOPPED


def test_run_whose_unanswered_start_took_no_effect_is_refused_later(
    harness: ReconcilerHarness,
) -> None:
    harness.worker.faults.update({"hangs": ["start"]})
    harness.worker_client.repeat_error = errors.CapacityError("does not fit")
    harness.send_orders(make_order())

    assert harness.wait_for_end() == EventKind.REFUSED
    # Refused at the first repeat, and again when the first start was over.
    assert harness.worker_client.starts_count == 3


@pytest.mark.parametrize("restarts", [False, True], ids=["same", "restarted"])
def test_ended_run_is_not_started_again_by_a_late_request(
    harness: ReconcilerHarness, restarts: bool
) -> None:
    harness.lease_ms = 5000
    harness.worker.faults.update({"late_ms": {"start": 3500}})
    harness.send_orders(make_order(run_time_ms=1))
    processes.wait_until(lambda: harness.worker_client.starts_count == 1)
    late_s = time.monotonic() + 4.0
    harness.worker.faults.update({"late_ms": {}})
    if restarts:
        processes.wait_until(harness.run_states)
        harness.reconciler.stop()
        harness.start_reconciler()
        harness.send_orders(make_order(run_time_ms=1))
    harness.wait_for_event(EventKind.COMPLETED)
    harness.send_orders()
    processes.wait_until(lambda: time.monotonic() > late_s)

    assert len(harness.journal_events("run_started")) == 1
    processes.wait_until(lambda: harness.run_states() == {}, what="forgotten")


def test_completed_run_is_reported_after_a_restart(
    harness: ReconcilerHarness,
) -> None:
    harness.send_orders(make_order(run_time_ms=200))
    processes.wait_until(
        lambda: harness.run_states() == {("rebuild/0", 1): "completed"}
    )
    harness.reconciler.stop()
    harness.start_reconciler()
    harness.send_orders(make_order(run_time_ms=200))
    harness.wait_for_event(EventKind.COMPLETED)

    assert len(harness.journal_events("run_started")) == 1
    processes.wait_until(lambda: harness.run_states() == {}, what="forgotten")


def test_ended_run_is_forgotten_after_a_failed_attempt(
    harness: ReconcilerHarness,
) -> None:
    harness.worker.faults.update({"fail_forgets": True})
    harness.send_orders(make_order(run_time_ms=1))
    harness.wait_for_event(EventKind.COMPLETED)
    harness.send_orders()
    harness.wait_for_listings(2)
    assert harness.run_states() == {("rebuild/0", 1): "completed"}
    harness.worker.faults.update({"fail_forgets": False})

    processes.wait_until(lambda: harness.run_states() == {}, what="forgotten")


def test_run_that_the_worker_lost_is_reported_lost(
    harness: ReconcilerHarness,
) -> None:
    harness.send_orders(make_order())
    harness.wait_for_event(EventKind.STARTED)
    harness.worker.restart_without_runs()
    # Control may not have recorded the start; that must not cause another one.
    harness.send_orders(make_order())
    harness.wait_for_event(EventKind.LOST)


def test_new_agent_starts_no_epoch_that_an_earlier_one_may_have_started(
    harness: ReconcilerHarness,
) -> None:
    harness.send_orders(make_order())
    harness.wait_for_event(EventKind.STARTED)
    harness.reconciler.stop()
    harness.worker.restart_without_runs()
    harness.lease_ms = 1000
    harness.start_reconciler()
    # Control has not recorded the start.
    harness.send_orders(make_order())
    harness.wait_for_event(EventKind.LOST)

    assert len(harness.journal_events("run_started")) == 1


def test_new_agent_starts_no_epoch_granted_before_its_first_lease(
    harness: ReconcilerHarness,
) -> None:
    """Guards against a run that an earlier agent, not yet replaced, starts as well."""
    harness.reconciler.stop()
    harness.lease_ms = 1000
    harness.start_reconciler()
    harness.reconciler.update_orders(TERM, harness.orders_version, [])
    harness.orders_version += 1
    harness.grant_lease()
    harness.reconciler.update_orders(
        TERM, harness.orders_version, [make_order(run_time_ms=1)]
    )

    assert harness.wait_for_end() == EventKind.LOST
    assert not harness.journal_events("run_started")
    # Later runs are only this agent's.
    harness.send_orders(make_order("other/0"))
    harness.wait_for_event(EventKind.STARTED, task="other/0")


def test_records_of_ended_runs_are_dropped(harness: ReconcilerHarness) -> None:
    for number in range(5):
        task = f"rebuild-{number}/0"
        harness.send_orders(make_order(task, run_time_ms=1))
        harness.wait_for_event(EventKind.COMPLETED, task=task)
    harness.send_orders()
    processes.wait_until(lambda: not harness.reconciler._outbox._reported)


def test_worker_that_renews_no_lease_is_unresponsive(
    harness: ReconcilerHarness,
) -> None:
    harness.send_orders(make_order())
    harness.wait_for_event(EventKind.STARTED)
    assert not harness.reconciler.renewer.is_worker_unresponsive
    harness.worker.faults.update({"hangs": ["renew"]})
    processes.wait_until(
        lambda: harness.reconciler.renewer.is_worker_unresponsive
    )
    harness.worker.faults.update({"hangs": []})
    processes.wait_until(
        lambda: not harness.reconciler.renewer.is_worker_unresponsive
    )
