"""Tests of operators and the configuration while processes fail."""

from collections.abc import Callable
from concurrent import futures
import json
import random
import re
import signal
import time

from marigoldsill import errors
from marigoldsill.cli import client as client_module
from tests import processes

_ROUNDS_COUNT = 3
_SEED = 11
_ELECTION_FLAGS = ("--election-timeout-ms", "500")
_SERVICE_INTENT = '[[service]]\nname = "lookup"\ncores = 1\nslots = {slots}\n'


def _create_client(
    system: processes.System, operator_name: str, *, first: int = 0
) -> client_module.Client:
    """Returns a client that tries the control process `first` first."""
    addresses = system.control_http[first:] + system.control_http[:first]
    return client_module.Client(
        addresses=tuple(addresses), operator_name=operator_name
    )


def _create_plan(client: client_module.Client, *, slots: int) -> int:
    body = _SERVICE_INTENT.format(slots=slots).encode()
    return client.post("/v1/plans/apply", body)["plan_id"]


def _confirm_plan(
    client: client_module.Client, plan_id: int, *, command_id: str = ""
) -> object:
    """Returns the answer, or the kind and message of the error."""
    try:
        return client.post(
            f"/v1/plans/{plan_id}/confirm", b"", command_id=command_id
        )
    except errors.MarigoldsillError as error:
        return error.kind, error.message


def _change_service(client: client_module.Client, *, slots: int) -> int:
    """Confirms a change and returns the resulting state version."""
    answer = _confirm_plan(client, _create_plan(client, slots=slots))
    return answer["state_version"]


def _leader(system: processes.System) -> str:
    return _create_client(system, "test").get("/v1/status")["leader"]


def _config_versions(process: processes.Process) -> list[int]:
    """Returns the versions that came into force in a process, in order."""
    found = re.findall(r"event=config_in_force.* version=(\d+)", process.text())
    return [int(version) for version in found]


def test_one_of_two_concurrent_confirmations_wins_while_the_leader_dies(
    system: processes.System,
) -> None:
    system.start_controls(3, *_ELECTION_FLAGS)
    rng = random.Random(_SEED)
    clients = [
        _create_client(system, f"desk-{number}", first=number)
        for number in (1, 2)
    ]
    for number in range(_ROUNDS_COUNT):
        plans = [
            _create_plan(client, slots=10 * number + index + 1)
            for index, client in enumerate(clients)
        ]
        leader = _leader(system)

        def send_confirmation(
            index: int, n: int = number, p: tuple = tuple(plans)
        ) -> object:
            command_id = f"confirm-{n}"
            return _confirm_plan(
                clients[index], p[index], command_id=command_id
            )

        with futures.ThreadPoolExecutor(2) as pool:
            calls = [
                pool.submit(send_confirmation, index) for index in range(2)
            ]
            time.sleep(rng.uniform(0.0, 0.03))
            system.processes[leader].kill()
            first = [call.result() for call in calls]
        repeated = [send_confirmation(index) for index in range(2)]
        system.run_control(leader)
        system.wait_for_voters(list(system.control_addresses))

        assert repeated == first
        has_won = [isinstance(answer, dict) for answer in first]
        assert sorted(has_won) == [False, True]
        winner, (kind, message) = (
            has_won.index(True),
            first[has_won.index(False)],
        )
        assert kind == "ConflictError"
        assert f"plan {plans[winner]}, operator 'desk-{winner + 1}'" in message
        status = clients[0].get("/v1/status")
        assert status["state_version"] == number + 1
    trail = clients[0].get("/v1/audit")
    assert [r["verb"] for r in trail] == [
        "planned",
        "planned",
        "confirmed",
        "refused",
    ] * _ROUNDS_COUNT


def test_a_resumed_leader_serves_no_outdated_configuration(
    system: processes.System,
) -> None:
    system.start_controls(3, *_ELECTION_FLAGS)
    entry = system.start_entry("entry-1")
    client = _create_client(system, "desk-1")
    _change_service(client, slots=1)
    old_leader = _leader(system)
    old_http = system.control_addresses[old_leader][1]
    system.processes[old_leader].freeze()
    with futures.ThreadPoolExecutor(1) as pool:
        # The request waits until the frozen process is resumed.
        pending = pool.submit(_direct_status, system, old_http)
        other_client = client_module.Client(
            addresses=tuple(a for a in system.control_http if a != old_http)
        )
        processes.wait_until(
            lambda: any(
                "state_version" in _direct_status(system, address)
                for address in other_client.addresses
            ),
            what="the next leader",
        )
        newest = _change_service(other_client, slots=2)
        restarted = system.start_entry("entry-2")
        system.processes[old_leader].send(signal.SIGCONT)
        answers = [pending.result()]
        answers += [_direct_status(system, old_http) for _ in range(20)]

    versions = [a["state_version"] for a in answers if "state_version" in a]
    assert all(version >= newest for version in versions)
    versions = processes.wait_until(
        lambda: _config_versions(restarted), what="the restarted entry's log"
    )
    assert versions[0] == newest
    newest = _change_service(client, slots=3)
    for process in (entry, restarted):
        processes.wait_until(
            lambda p=process: _config_versions(p)[-1] == newest, what="in force"
        )
        assert _config_versions(process) == sorted(
            set(_config_versions(process))
        )


def _direct_status(system: processes.System, address: str) -> dict:
    """Returns the status from exactly this control process, if it answers."""
    try:
        return json.loads(system.get(address, "/v1/status").body)
    except errors.TransportError:
        return {}


def test_the_configuration_survives_partitions_kills_and_restarts(
    system: processes.System, monkeypatch
) -> None:
    cuts_path = system.folder / "cuts"
    monkeypatch.setenv("MARIGOLDSILL_CUTS_FILE", str(cuts_path))
    system.start_controls(3, *_ELECTION_FLAGS)
    entries = [system.start_entry("entry-0")]
    client = _create_client(system, "desk-1")
    newest = _change_service(client, slots=1)

    def partition(leader: str) -> None:
        # Only from its peers: entries still reach the leader and try it first.
        cuts_path.write_text(f"{leader} *\n* {leader}\n")
        first = system.control_addresses[leader][0]
        system.control_thrift.sort(key=lambda address: address != first)

    def heal(_: str) -> None:
        cuts_path.write_text("")

    def kill(leader: str) -> None:
        system.processes[leader].kill()

    def restart(leader: str) -> None:
        system.run_control(leader)

    faults: list[tuple[Callable, Callable]] = [
        (partition, heal),
        (kill, restart),
    ]
    for number, (begin, end) in enumerate(faults):
        leader = _leader(system)
        begin(leader)
        newest = _change_service(client, slots=number + 2)
        entries.append(system.start_entry(f"entry-{number + 1}"))
        assert _config_versions(entries[-1]) == [newest]
        end(leader)
        system.wait_for_voters(list(system.control_addresses))
    for entry in entries:
        processes.wait_until(
            lambda e=entry: _config_versions(e)[-1] == newest, what="in force"
        )
        assert _config_versions(entry) == sorted(set(_config_versions(entry)))


def test_a_drained_worker_is_still_drained_after_its_loss(
    system: processes.System,
) -> None:
    system.start_controls(1)
    agent = system.start_worker("worker-1")
    client = _create_client(system, "desk-1")
    _change_service(client, slots=1)

    def worker() -> dict:
        return client.get("/v1/status")["workers"][0]

    def tasks() -> list[dict]:
        return client.get("/v1/status")["tasks"]

    processes.wait_until(
        lambda: tasks()[0]["state"] == "running", what="a running service"
    )
    plan = client.post("/v1/plans/drain", b'{"name": "worker-1"}')
    assert [g["name"] for g in plan["guards"]] == ["last-worker"]
    refused = _confirm_plan(client, plan["plan_id"])
    assert refused[0] == "GuardError"
    body = json.dumps({"acknowledged": ["last-worker"]}).encode()
    client.post(f"/v1/plans/{plan['plan_id']}/confirm", body)
    agent.kill()
    processes.wait_until(lambda: worker()["state"] == "lost", what="lost")
    system.start_agent("worker-1")
    processes.wait_until(lambda: worker()["live"], what="live again")

    assert worker()["state"] == "draining"
    assert tasks()[0]["state"] == "queued"


def test_an_evacuation_holds_for_workers_that_join_and_for_the_next_leader(
    system: processes.System,
) -> None:
    """Guards against tasks that start in a data centre that is being emptied.

    An evacuation names a data centre. A worker that joins afterwards, or a leader that
    is elected afterwards, has to apply it too.
    """
    controls = system.start_controls(3)
    client = _create_client(system, "desk-1")
    system.start_worker("worker-1")
    _change_service(client, slots=1)

    def status() -> dict:
        return client.get("/v1/status")

    processes.wait_until(
        lambda: status()["tasks"][0]["state"] == "running", what="the service"
    )
    [data_centre] = {w["data_centre"] for w in status()["workers"]}
    body = json.dumps({"name": data_centre}).encode()
    plan = client.post("/v1/plans/evacuate", body)
    guards = sorted(g["name"] for g in plan["guards"])
    assert guards == ["last-data-centre", "last-worker", "service-capacity"]
    assert _confirm_plan(client, plan["plan_id"])[0] == "GuardError"
    acknowledged = json.dumps({"acknowledged": guards}).encode()
    client.post(f"/v1/plans/{plan['plan_id']}/confirm", acknowledged)

    names = list(system.control_addresses)
    controls[names.index(status()["leader"])].kill()
    system.start_worker("worker-2")
    processes.wait_until(
        lambda: [w["state"] for w in status()["workers"]] == ["draining"] * 2,
        what="two draining workers",
    )
    assert status()["evacuated_data_centres"] == [data_centre]

    plan = client.post("/v1/plans/end-evacuation", body)
    _confirm_plan(client, plan["plan_id"])
    processes.wait_until(
        lambda: {w["state"] for w in status()["workers"]} == {"active"},
        what="active workers",
    )
    assert "evacuated_data_centres" not in status()
    assert status()["tasks"][0]["state"] == "running"
