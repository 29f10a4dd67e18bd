"""Watches wake the subscribers that a change concerns, and never answer stale data."""

from collections.abc import Iterator
from concurrent import futures
import contextlib

import pytest

from marigoldsill.coordination.configuration import watch_service
from marigoldsill.coordination.deciding import control_service
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from tests import processes
from tests.coordination import fakes
from tests.state import states

_ENTRY = ttypes.Role.ENTRY
_AGENT = ttypes.Role.AGENT


def _current_request(
    watches: watch_service.WatchService,
    replica: fakes.FakeReplica,
    name: str,
    role: ttypes.Role,
    *,
    wait_ms: int = 0,
) -> ttypes.WatchRequest:
    """Returns a request of a subscriber that is up to date."""
    tables = replica.tables
    request = ttypes.WatchRequest(
        role=role,
        subscriber=name,
        config_version=tables.config_version,
        config_checksum=tables.config_checksum,
        wait_ms=wait_ms,
    )
    reply = watches.watch(request)
    request.routes_term = request.orders_term = reply.term
    request.routes_version = reply.routes_version
    request.orders_version = reply.orders_version
    return request


_SUBSCRIBERS = {"entry-1": _ENTRY, "w1": _AGENT, "w2": _AGENT}


@contextlib.contextmanager
def _waiting_subscribers() -> Iterator[tuple[fakes.FakeReplica, set[str]]]:
    """Lets up-to-date subscribers wait, and yields the replica and those woken."""
    tables = states.with_workers("w1", "w2")
    states.apply_changes(tables, states.declare(states.service("lookup")))
    replica, service = fakes.leading_control_service(tables)
    watches = service.watches
    requests = {
        name: _current_request(watches, replica, name, role)
        for name, role in _SUBSCRIBERS.items()
    }
    woken: set[str] = set()
    with futures.ThreadPoolExecutor(len(requests)) as pool:
        calls = {}
        for name, request in requests.items():
            request.wait_ms = 20_000
            calls[name] = pool.submit(watches.watch, request)
        processes.wait_until(lambda: watches.hub.waiting_count == len(requests))
        yield replica, woken
        processes.wait_until(
            lambda: (
                sum(call.done() for call in calls.values())
                == watches.hub.wakes_count
            )
        )
        woken |= {name for name, call in calls.items() if call.done()}
        watches.hub.close()


def _propose(replica: fakes.FakeReplica, **body: object) -> None:
    command = ttypes.Command(command_id="", **body)
    replica.propose(command, timeout_s=1.0)


def _confirm(replica: fakes.FakeReplica, change: ttypes.Change) -> None:
    plan_id = states.plan(replica.tables, change)
    confirmation = ttypes.ConfirmPlan(plan_id=plan_id, operator_name="desk-1")
    _propose(replica, confirm_plan=confirmation)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (states.declare(states.service("desk")), {"entry-1", "w1", "w2"}),
        (states.declare(states.batch_job("rebuild")), set()),
        (
            states.change(ttypes.ChangeVerb.DRAIN, "worker/w1"),
            {"entry-1", "w1", "w2"},
        ),
    ],
)
def test_confirmed_change_wakes_only_the_subscribers_it_concerns(
    change: ttypes.Change, expected: set[str]
) -> None:
    with _waiting_subscribers() as (replica, woken):
        _confirm(replica, change)
    assert woken == expected


def test_grant_wakes_only_the_agent_of_its_worker() -> None:
    with _waiting_subscribers() as (replica, woken):
        grant = ttypes.Assignment(
            task="lookup/0", epoch=1, worker="w2", reserved=states.SMALL
        )
        _propose(replica, assign_runs=ttypes.AssignRuns(assignments=[grant]))
    assert woken == {"w2"}


def test_new_incarnation_of_a_worker_wakes_entries_only() -> None:
    with _waiting_subscribers() as (replica, woken):
        worker = states.worker("w1", incarnation=2)
        _propose(replica, put_worker=ttypes.PutWorker(worker=worker))
    assert woken == {"entry-1"}


def test_leader_that_was_frozen_during_a_request_does_not_answer() -> None:
    replica, service = fakes.leading_control_service(states.with_workers("w1"))
    replica.is_leader_answers = [True, True, False]
    with pytest.raises(ttypes.NotLeader):
        service.watch(ttypes.WatchRequest(role=_ENTRY, subscriber="entry-1"))


def test_restarted_subscriber_is_answered_only_by_a_confirmed_leader() -> None:
    replica, service = fakes.leading_control_service(states.with_workers("w1"))
    replica.has_majority = False
    with pytest.raises(ttypes.NoQuorum):
        service.watch(
            ttypes.WatchRequest(role=_ENTRY, subscriber="entry-1", wait_ms=0)
        )


def test_leader_that_lags_behind_sends_no_older_version() -> None:
    replica, service = fakes.leading_control_service(states.with_workers("w1"))
    request = ttypes.WatchRequest(
        role=_ENTRY, subscriber="entry-1", config_version=5, config_checksum=7
    )
    request.wait_ms = 0
    reply = service.watch(request)
    delta = codec.decode(ttypes.ConfigDelta(), reply.encoded_config)
    assert (delta.version, delta.policy) == (5, None)


def test_services_called_at_entries_are_recorded() -> None:
    _, service = fakes.leading_control_service(states.with_workers("w1"))
    service.watch(
        ttypes.WatchRequest(
            role=_ENTRY,
            subscriber="entry-1",
            wait_ms=0,
            called_services=["lookup"],
        )
    )
    assert service.watches.recently_called_services() == {"lookup"}


def test_replaced_agent_gets_no_orders_for_runs_of_its_successor() -> None:
    """Guards against a run that starts on both of two VMs of one name."""
    tables = states.with_workers("w1")
    states.apply_changes(tables, states.declare(states.service("lookup")))
    replica, service = fakes.leading_control_service(tables)
    successor = states.worker("w1", incarnation=2)
    _propose(replica, put_worker=ttypes.PutWorker(worker=successor))
    grant = ttypes.Assignment(
        task="lookup/0", epoch=1, worker="w1", reserved=states.SMALL
    )
    _propose(replica, assign_runs=ttypes.AssignRuns(assignments=[grant]))
    replies = {
        incarnation: service.watch(
            ttypes.WatchRequest(
                role=_AGENT,
                subscriber="w1",
                incarnation=incarnation,
                wait_ms=0,
            )
        )
        for incarnation in (1, 2)
    }

    assert replies[1].orders is None
    assert [order.task for order in replies[2].orders] == ["lookup/0"]


def _routed_agents(reply: ttypes.WatchReply) -> list[str] | None:
    if reply.routes is None:
        return None
    return sorted(route.agent for route in reply.routes)


def _announce(service: control_service.ControlService, agent: str) -> None:
    endpoint = ttypes.EndpointInfo(
        service_name="lookup",
        address=f"{agent}:1",
        slots_count=4,
        connections_count=8,
    )
    service.endpoints.set_endpoints(agent, [endpoint])


def _lead_again(
    replica: fakes.FakeReplica, service: control_service.ControlService
) -> None:
    replica.term += 1
    service.become_leader()


@pytest.mark.parametrize("is_lost", [False, True])
def test_new_leader_withdraws_no_route_before_agents_had_time_to_announce(
    is_lost: bool,
) -> None:
    # Entries refused all requests until the first heartbeats reached a new leader.
    replica, service = fakes.leading_control_service(
        states.with_workers("w1", "w2")
    )
    for agent in ("w1", "w2"):
        _announce(service, agent)
    request = _current_request(service.watches, replica, "entry-1", _ENTRY)
    _lead_again(replica, service)
    assert _routed_agents(service.watch(request)) is None
    _announce(service, "w1")
    assert _routed_agents(service.watch(request)) is None
    if is_lost:
        service.remove_agent("w2")
    else:
        _announce(service, "w2")
    expected = ["w1"] if is_lost else ["w1", "w2"]
    assert _routed_agents(service.watch(request)) == expected


def test_new_leader_gives_a_restarted_entry_the_routes_that_it_knows() -> None:
    replica, service = fakes.leading_control_service(
        states.with_workers("w1", "w2")
    )
    _lead_again(replica, service)
    _announce(service, "w1")
    request = ttypes.WatchRequest(role=_ENTRY, subscriber="entry-1", wait_ms=0)
    reply = service.watch(request)
    assert _routed_agents(reply) == ["w1"]
    request.routes_term = reply.term
    request.routes_version = reply.routes_version
    _announce(service, "w2")
    assert _routed_agents(service.watch(request)) == ["w1", "w2"]
