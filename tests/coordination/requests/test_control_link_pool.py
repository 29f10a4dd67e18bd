"""Tests of an entry's connections to control for claims."""

import contextlib

import pytest

from marigoldsill import errors
from marigoldsill.coordination.leadership import control_link
from marigoldsill.coordination.requests import control_link_pool

_ADDRESSES = ("control-1:1", "control-2:1", "control-3:1")
_CALLS_COUNT = 40


class _Link:
    """A link that notes where it calls.

    Attributes:
        address: Where the next call goes.
        is_open: Whether its connection is open.
    """

    def __init__(self, **_: object):
        self.address = _ADDRESSES[0]
        self.is_open = True

    def set_address(self, address: str) -> None:
        self.address = address

    def close(self) -> None:
        self.is_open = False


@pytest.fixture
def pool(
    monkeypatch: pytest.MonkeyPatch,
) -> control_link_pool.ControlLinkPool:
    monkeypatch.setattr(control_link, "ControlLink", _Link)
    return control_link_pool.ControlLinkPool(control_addresses=_ADDRESSES)


def _acquire_all(
    pool: control_link_pool.ControlLinkPool, calls: contextlib.ExitStack
) -> list[_Link]:
    return [
        calls.enter_context(pool.acquire(timeout_s=0.0))
        for _ in range(_CALLS_COUNT)
    ]


def _fail(pool: control_link_pool.ControlLinkPool, *, next_address: str):
    with (
        contextlib.suppress(errors.UnknownOutcomeError),
        pool.acquire(timeout_s=0.0) as link,
    ):
        link.address = next_address
        raise errors.UnknownOutcomeError("no answer")


def test_claims_of_all_slots_wait_for_their_commits_at_once(pool) -> None:
    # Half of the time of a claim was a wait for one of 16 connections.
    with contextlib.ExitStack() as calls:
        links = _acquire_all(pool, calls)
    assert len(set(links)) == _CALLS_COUNT


def test_one_connection_is_used_while_commits_are_fast(pool) -> None:
    links = set()
    for _ in range(_CALLS_COUNT):
        with pool.acquire(timeout_s=0.0) as link:
            links.add(link)
    assert len(links) == 1


def test_connections_of_a_slow_time_are_closed_after_it(pool) -> None:
    with contextlib.ExitStack() as calls:
        links = _acquire_all(pool, calls)
    assert sum(link.is_open for link in links) == 16


def test_leader_that_one_call_found_is_called_by_all(pool) -> None:
    with contextlib.ExitStack() as calls:
        _acquire_all(pool, calls)
    with pool.acquire(timeout_s=0.0) as link:
        link.address = _ADDRESSES[2]
    with contextlib.ExitStack() as calls:
        links = _acquire_all(pool, calls)
        assert {link.address for link in links} == {_ADDRESSES[2]}


def test_process_that_did_not_answer_is_not_called_first_again(pool) -> None:
    _fail(pool, next_address=_ADDRESSES[1])
    with pool.acquire(timeout_s=0.0) as link:
        assert link.address == _ADDRESSES[1]


def test_late_failure_does_not_hide_the_leader_that_others_found(pool) -> None:
    with (
        contextlib.suppress(errors.UnknownOutcomeError),
        pool.acquire(timeout_s=0.0) as late,
    ):
        with pool.acquire(timeout_s=0.0) as link:
            link.address = _ADDRESSES[2]
        late.address = _ADDRESSES[1]
        raise errors.UnknownOutcomeError("no answer")
    with pool.acquire(timeout_s=0.0) as link:
        assert link.address == _ADDRESSES[2]
