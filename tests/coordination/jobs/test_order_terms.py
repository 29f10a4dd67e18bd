"""Tests that orders and their versions are told only in the term they were computed for.

A process may lose its term and lead again while it handles a call; a later leader may
have recorded ends and granted runs in between.
"""

import itertools

import pytest

from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import builders
from tests.coordination.jobs import single_leader


@pytest.fixture
def leader() -> single_leader.Leader:
    """A leader that has granted a run to agent "a1"."""
    new_leader = single_leader.Leader()
    new_leader.report("a1")
    new_leader.submit("j1", builders.step())
    new_leader.service.propose(
        grant_runs=ttypes.GrantRuns(
            grants=[builders.grant(builders.task_name())]
        )
    )
    return new_leader


def _lead_again(
    leader: single_leader.Leader, monkeypatch: pytest.MonkeyPatch
) -> None:
    term = leader.replica.term + 2
    monkeypatch.setattr(
        replica_module.Replica, "term", property(lambda _: term)
    )


def test_orders_of_an_earlier_term_are_not_told_as_those_of_a_later_one(
    leader: single_leader.Leader, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the start of a run that a leader in between has ended."""
    monkeypatch.setattr(
        leader.service.hub,
        "wait",
        lambda *_, **__: _lead_again(leader, monkeypatch),
    )
    with pytest.raises((ttypes.NotLeader, ttypes.NoQuorum)):
        leader.service.agent_orders(ttypes.OrdersRequest(agent="a1"))


def test_orders_are_told_with_the_term_that_was_compared(
    leader: single_leader.Leader, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the same if the term changes right after it was compared."""
    computed_term = leader.replica.term
    later_terms = itertools.repeat(computed_term + 2)

    def change_term() -> None:
        terms = itertools.chain((computed_term,), later_terms)
        monkeypatch.setattr(
            replica_module.Replica, "term", property(lambda _: next(terms))
        )

    monkeypatch.setattr(
        leader.service.hub, "wait", lambda *_, **__: change_term()
    )
    reply = leader.service.agent_orders(ttypes.OrdersRequest(agent="a1"))
    assert reply.term == computed_term


def test_orders_of_a_later_term_are_told_once_they_are_computed(
    leader: single_leader.Leader, monkeypatch: pytest.MonkeyPatch
) -> None:
    _lead_again(leader, monkeypatch)
    reply = leader.service.agent_orders(ttypes.OrdersRequest(agent="a1"))
    assert reply.term == leader.replica.term
    assert [order.task for order in reply.orders] == [builders.task_name()]


def test_no_lease_is_granted_by_the_orders_of_an_earlier_term(
    leader: single_leader.Leader, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against starts by a lease that names a version of an earlier term."""
    become_leader = leader.service.become_leader

    def become_leader_of_the_earlier_term() -> None:
        become_leader()
        _lead_again(leader, monkeypatch)

    monkeypatch.setattr(
        leader.service, "become_leader", become_leader_of_the_earlier_term
    )
    reply = leader.report("a1")
    assert not reply.lease_ms
    assert not reply.ends_recorded
