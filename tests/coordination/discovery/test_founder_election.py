"""At most one process may form the group at the first start, despite restarts."""

from collections.abc import Callable
import pathlib
import random
import shutil
import threading

import pytest

from marigoldsill import errors
from marigoldsill.coordination.agreement import founding_plan
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.discovery import formation_client
from marigoldsill.coordination.discovery import founder_election
from marigoldsill.protocol.generated import ttypes

_SEEDS = ("a:1", "b:1", "c:1")


class _KilledError(Exception):
    """The process that makes a call was killed."""


def _is_no_call_lost(address: str, request: ttypes.FounderRequest) -> bool:
    del address, request
    return False


class _StopsAfterOneRound(threading.Event):
    """An event that is set once it has been waited for."""

    def wait(self, timeout: float | None = None) -> bool:
        del timeout
        self.set()
        return True


class _FirstStart:
    """The processes of a first start; each is named after its host.

    Attributes:
        members: The members that all processes know.
        is_call_lost: Called before each call with the callee's address and the
            request; the call fails if it returns true.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, folder: pathlib.Path):
        self.processes: dict[str, founder_election.FounderElection] = {}
        self.members: list[str] = []
        self.is_call_lost: Callable[[str, ttypes.FounderRequest], bool] = (
            _is_no_call_lost
        )
        self._folder = folder
        self._stateless_hosts: set[str] = set()
        monkeypatch.setattr(formation_client, "call", self._handle_call)

    def start_process(
        self,
        host: str,
        *,
        keeps_state: bool = True,
        first_seeds: tuple[str, ...] = _SEEDS,
    ) -> founder_election.FounderElection:
        address = f"{host}:1"
        if not keeps_state:
            self._stateless_hosts.add(host)
        self.processes[address] = founder_election.FounderElection(
            name=host,
            address=address,
            plan=self._plan(host) if keeps_state else None,
            first_seeds=first_seeds,
            get_members=lambda: self.members,
        )
        self.processes[address].resume()
        return self.processes[address]

    def form_group(self, host: str) -> int:
        member = ttypes.Member(name=host, address=f"{host}:1", http_address="")
        return replica_module.initialise(
            self._folder / host,
            [member],
            own_name=host,
            planned_cluster_id=self.processes[f"{host}:1"].planned_cluster_id,
        )

    def lose_disk(self, host: str) -> None:
        shutil.rmtree(self._folder / host, ignore_errors=True)

    def planned_cluster_id(self, host: str) -> int:
        plan = self._plan(host)
        plan.load()
        return plan.cluster_id

    def _plan(self, host: str) -> founding_plan.FoundingPlan:
        return founding_plan.FoundingPlan(self._folder / host, name=host)

    def restart_process(
        self, host: str, *, keeps_state: bool = True
    ) -> founder_election.FounderElection:
        return self.start_process(host, keeps_state=keeps_state, first_seeds=())

    def keeps_state(self, host: str) -> bool:
        return host not in self._stateless_hosts

    def _handle_call(
        self, address: str, method: str, request: ttypes.FounderRequest
    ) -> ttypes.FounderReply | None:
        assert method == "founder"
        if self.is_call_lost(address, request):
            return None
        process = self.processes.get(address)
        return process.handle_request(request) if process else None


@pytest.fixture
def first_start(
    monkeypatch: pytest.MonkeyPatch, tmp_path: pathlib.Path
) -> _FirstStart:
    monkeypatch.setattr(founder_election, "_POLL_INTERVAL_S", 0.001)
    return _FirstStart(monkeypatch, tmp_path)


def _wins_election(process: founder_election.FounderElection) -> bool:
    stopping = threading.Event()
    timer = threading.Timer(0.05, stopping.set)
    timer.start()
    is_elected = process.wait_for_result(stopping)
    timer.cancel()
    return is_elected


def test_only_the_first_seed_is_elected(first_start: _FirstStart) -> None:
    a, b, c, d = (first_start.start_process(host) for host in "abcd")
    assert not any(_wins_election(p) for p in (b, c, d))
    assert _wins_election(a)
    assert not any(_wins_election(p) for p in (b, c, d))


def test_first_candidate_is_elected_if_the_first_seed_keeps_no_state(
    first_start: _FirstStart,
) -> None:
    first_start.start_process("a", keeps_state=False)
    b, c, d = (first_start.start_process(host) for host in "bcd")
    assert _wins_election(d)
    assert not _wins_election(b)
    assert not _wins_election(c)


def test_second_seed_is_elected_if_the_first_restarted(
    first_start: _FirstStart,
) -> None:
    a = first_start.restart_process("a")
    b, c = first_start.start_process("b"), first_start.start_process("c")
    assert not _wins_election(a)
    assert not _wins_election(c)
    assert _wins_election(b)


def test_no_other_process_is_elected_after_the_founder_lost_its_disk(
    first_start: _FirstStart,
) -> None:
    a, b, c = (first_start.start_process(host) for host in "abc")
    assert _wins_election(a)
    first_start.lose_disk("a")
    a = first_start.restart_process("a")
    assert not any(_wins_election(p) for p in (a, b, c))


def test_unreachable_first_seed_is_skipped_only_after_the_grace_period(
    first_start: _FirstStart, monkeypatch: pytest.MonkeyPatch
) -> None:
    b = first_start.start_process("b")
    first_start.start_process("c")
    assert not _wins_election(b)
    monkeypatch.setattr(founder_election, "_SEED_GRACE_S", 0.0)
    assert _wins_election(b)
    assert not _wins_election(first_start.start_process("a"))


def test_no_process_is_elected_by_a_minority_of_the_seeds(
    first_start: _FirstStart, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(founder_election, "_SEED_GRACE_S", 0.0)
    assert not _wins_election(first_start.start_process("a"))


def test_no_process_is_elected_once_a_group_is_known(
    first_start: _FirstStart,
) -> None:
    a, b = first_start.start_process("a"), first_start.start_process("b")
    first_start.start_process("c")
    first_start.members = ["d:1"]
    assert not _wins_election(a)
    assert not _wins_election(b)


def test_no_process_is_elected_at_a_later_start(
    first_start: _FirstStart,
) -> None:
    assert not any(
        _wins_election(first_start.restart_process(h)) for h in "abc"
    )


def _kill_before_call(
    first_start: _FirstStart, *, seed: str, stands: bool
) -> None:
    """Kills whoever makes a call of one kind to one seed, before it is made."""

    def kill(address: str, request: ttypes.FounderRequest) -> bool:
        if address == seed and request.stands == stands:
            raise _KilledError
        return False

    first_start.is_call_lost = kill


def test_a_founder_that_was_killed_with_votes_is_elected_after_its_restart(
    first_start: _FirstStart,
) -> None:
    """Guards against votes for a process that has forgotten them."""
    a, b, c = (first_start.start_process(host) for host in "abc")
    assert _wins_election(a)
    cluster_id = first_start.planned_cluster_id("a")
    a = first_start.restart_process("a")
    assert not any(_wins_election(p) for p in (b, c))
    assert _wins_election(a)
    assert first_start.form_group("a") == cluster_id
    assert not first_start.planned_cluster_id("a")


@pytest.mark.parametrize("voters", ["", "b", "c"])
def test_a_founder_that_was_killed_before_all_had_voted_keeps_none_waiting(
    first_start: _FirstStart, voters: str
) -> None:
    a, b, c = (first_start.start_process(host) for host in "abc")

    def is_binding_call_lost(
        address: str, request: ttypes.FounderRequest
    ) -> bool:
        return request.stands and address[0] not in voters

    first_start.is_call_lost = is_binding_call_lost
    a._wins_election()
    first_start.is_call_lost = _is_no_call_lost
    a = first_start.restart_process("a")
    assert _wins_election(b) == (not voters)
    assert not _wins_election(c)
    assert _wins_election(a) == bool(voters)


def test_a_restarted_candidate_gives_up_its_plan_once_a_group_is_known(
    first_start: _FirstStart,
) -> None:
    a, _, _ = (first_start.start_process(host) for host in "abc")
    _kill_before_call(first_start, seed="b:1", stands=True)
    with pytest.raises(_KilledError):
        a.wait_for_result(threading.Event())
    a = first_start.restart_process("a")
    assert first_start.planned_cluster_id("a")
    first_start.members = ["b:1"]
    assert not _wins_election(a)
    assert not first_start.planned_cluster_id("a")


def test_a_restarted_candidate_counts_the_seeds_of_the_first_start(
    first_start: _FirstStart,
) -> None:
    """Settings may name other seeds by then; their votes must not count."""
    a, _, _ = (first_start.start_process(host) for host in "abc")
    _kill_before_call(first_start, seed="c:1", stands=True)
    with pytest.raises(_KilledError):
        a.wait_for_result(threading.Event())
    first_start.is_call_lost = _is_no_call_lost
    del first_start.processes["c:1"]
    first_start.start_process("d")
    assert not _wins_election(
        first_start.start_process("a", first_seeds=("a:1", "b:1", "d:1"))
    )


def test_a_candidate_that_ended_is_replaced_if_the_first_seed_keeps_no_state(
    first_start: _FirstStart, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an answer to a candidate that outlives the candidate."""
    first_start.start_process("a", keeps_state=False)
    b, _, d = (first_start.start_process(host) for host in "bcd")
    _kill_before_call(first_start, seed="b:1", stands=False)
    with pytest.raises(_KilledError):
        d.wait_for_result(threading.Event())
    first_start.is_call_lost = _is_no_call_lost
    first_start.restart_process("d")
    assert not _wins_election(b)
    monkeypatch.setattr(founder_election, "_CANDIDATE_LIMIT_S", 0.0)
    assert _wins_election(b)


@pytest.mark.parametrize("seed", range(200))
def test_two_groups_never_form_whatever_is_killed_lost_or_delayed(
    first_start: _FirstStart, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    monkeypatch.setattr(founder_election, "_SEED_GRACE_S", 0.0)
    monkeypatch.setattr(founder_election, "_CANDIDATE_LIMIT_S", 0.0)
    numbers = random.Random(seed)
    for host in "abcd":
        first_start.start_process(host, keeps_state=numbers.random() < 0.5)
    formed: set[int] = set()
    running: list[founder_election.FounderElection] = []

    def disrupt(address: str, request: ttypes.FounderRequest) -> bool:
        """Kills the caller or the callee, or lets another candidate go first."""
        event = numbers.random()
        if event < 0.03:
            raise _KilledError
        if event < 0.06:
            restart(address[0])
        elif event < (0.6 if request.stands else 0.1):
            run_candidate()
        if first_start.processes[f"{request.name}:1"] is not running[-1]:
            raise _KilledError
        return event > 0.8

    def restart(host: str) -> None:
        if numbers.random() < 0.2:
            first_start.lose_disk(host)
        first_start.restart_process(
            host, keeps_state=first_start.keeps_state(host)
        )

    def run_candidate() -> None:
        host = numbers.choice("abcd")
        process = first_start.processes[f"{host}:1"]
        if len(running) == 4 or not first_start.keeps_state(host):
            return
        running.append(process)
        try:
            if process.wait_for_result(_StopsAfterOneRound()):
                if numbers.random() < 0.3:
                    raise _KilledError
                formed.add(first_start.form_group(host))
                if numbers.random() < 0.1:
                    first_start.members = [f"{host}:1"]
        except _KilledError:
            restart(host)
        except errors.MembershipError:
            pass
        finally:
            running.pop()

    first_start.is_call_lost = disrupt
    for _ in range(60):
        run_candidate()
    assert len(formed) <= 1
