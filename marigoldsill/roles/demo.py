"""A demo of the main workflow on a local system, with every step verified.

An operator plans an intent and confirms the plan; the tasks start; callers get
answers; the batch job runs once; the audit trail names the operator.
"""

import collections
from collections.abc import Callable
import json
import time
import uuid

from marigoldsill import errors
from marigoldsill import settings as settings_module
from marigoldsill.roles import local as local_module
from marigoldsill.transport import http_client
from standins import journal as journal_module

_STEP_TIMEOUT_S = 30.0
_POLL_S = 0.05
_REQUEST_TIMEOUT_S = 10.0
_NO_LEADER_STATUSES = (
    errors.NotLeaderError.http_status,
    errors.NoQuorumError.http_status,
)
_OPERATOR = "desk-1"
_INTENT = """\
[[service]]
name = "lookup"
cores = 2
memory = "1GB"
slots = 4
connections = 8

[[batch_job]]
name = "rebuild"
cores = 4
memory = "2GB"
run_time = "1s"

[[watcher]]
name = "parish"
cores = 0.5
memory = "100MB"
"""
_TASKS = ("lookup/0", "parish/0", "rebuild/0")


def run(
    settings: settings_module.LocalSettings,
    *,
    print_line: Callable[[str], None],
) -> None:
    """Runs the demo.

    Args:
        settings: The settings of the local system.
        print_line: Prints a line for each verified step, and "demo: ok" at the end.

    Raises:
        DemoError: A step was not verified.
    """
    local = local_module.LocalSystem(settings)
    local.start()
    try:
        _Demo(local, print_line).run()
    finally:
        local.stop()
    print_line("demo: ok")


class _Demo:
    """Runs the steps of the demo; a step that can't be verified raises."""

    def __init__(
        self,
        local: local_module.LocalSystem,
        print_line: Callable[[str], None],
    ):
        self._local = local
        self._print_line = print_line
        self._steps_count = 0

    def run(self) -> None:
        self._wait_for_workers()
        plan = self._create_plan()
        self._confirm_plan(plan)
        self._wait_for_task_states()
        self._check_call()
        self._check_repeated_call()
        self._check_journals()
        self._check_audit(plan)

    def _wait_for_workers(self) -> None:
        names = list(self._local.journals)

        def are_all_live() -> bool:
            workers = self._get("/v1/status")["workers"]
            return sorted(w["name"] for w in workers if w["live"]) == names

        _wait_until(are_all_live, f"{len(names)} workers live")
        self._print_step(f"{len(names)} workers have announced themselves")

    def _create_plan(self) -> dict:
        plan = self._post("/v1/plans/apply", _INTENT.encode())
        starts = sorted(
            effect["subject"]
            for effect in plan["effects"]
            if effect["verb"] == "start"
        )
        _require(starts == list(_TASKS), f"plan starts {starts}")
        self._print_step(
            f"plan {plan['plan_id']} would start {', '.join(starts)}"
        )
        tasks = self._get("/v1/status")["tasks"]
        _require(not tasks, f"nothing runs before a confirmation, not {tasks}")
        self._print_step("nothing has started before the confirmation")
        return plan

    def _confirm_plan(self, plan: dict) -> None:
        path = f"/v1/plans/{plan['plan_id']}/confirm"
        answer = self._post(path, b"")
        _require(answer["state"] == "confirmed", f"confirmed, not {answer}")
        self._print_step(f"plan {plan['plan_id']} is confirmed")

    def _wait_for_task_states(self) -> None:
        expected = dict.fromkeys(_TASKS, "running") | {"rebuild/0": "done"}

        def has_expected_states() -> bool:
            tasks = self._get("/v1/status")["tasks"]
            return {t["name"]: t["state"] for t in tasks} == expected

        _wait_until(has_expected_states, f"tasks are {expected}")
        self._print_step(
            "the service and the watcher run, the batch job is done"
        )

    def _check_call(self) -> None:
        url = f"http://{self._local.entry_http}/services/lookup/garcia"

        def is_answered() -> bool:
            answer = http_client.fetch(url, timeout_s=_REQUEST_TIMEOUT_S)
            return answer.status_code == 200 and answer.body.startswith(
                b"lookup /garcia"
            )

        _wait_until(is_answered, f"an answer from {url}")
        self._print_step("a caller's request is answered by the service")

    def _check_repeated_call(self) -> None:
        url = f"http://{self._local.entry_http}/services/lookup/bill"
        answers = [
            http_client.fetch(
                url,
                method="POST",
                body=b"family 7",
                headers=(("Idempotency-Key", "demo-1"),),
                timeout_s=_REQUEST_TIMEOUT_S,
            )
            for _ in range(2)
        ]
        statuses = [answer.status_code for answer in answers]
        _require(statuses == [200, 200], f"two answers 200, not {statuses}")
        _require(answers[0].body == answers[1].body, "both answers are equal")

    def _check_journals(self) -> None:
        events = [
            event
            for path in self._local.journals.values()
            for event in journal_module.read(path)
        ]
        runs_count = sum(event.get("key") == "demo-1" for event in events)
        _require(runs_count == 1, f"one run of the key, not {runs_count}")
        self._print_step("a non-idempotent request sent twice has run once")
        counts = collections.Counter(
            event["event"]
            for event in events
            if event.get("task") == "rebuild/0"
        )
        _require(
            counts["run_started"] == counts["run_completed"] == 1,
            f"one start and one end of rebuild/0, not {dict(counts)}",
        )
        self._print_step("the batch job has started once and finished once")

    def _check_audit(self, plan: dict) -> None:
        records = self._get("/v1/audit")
        found = [
            (record["verb"], record["operator_name"])
            for record in records
            if record["plan_id"] == plan["plan_id"]
        ]
        expected = [("planned", _OPERATOR), ("confirmed", _OPERATOR)]
        _require(
            found == expected, f"the audit trail has {expected}, not {found}"
        )
        self._print_step(f"the audit trail names {_OPERATOR}")

    def _get(self, path: str) -> dict:
        return self._fetch(path, method="GET", body=b"")

    def _post(self, path: str, body: bytes) -> dict:
        return self._fetch(path, method="POST", body=body)

    def _fetch(self, path: str, *, method: str, body: bytes) -> dict:
        command_id = str(uuid.uuid4())
        answer = self._send(path, method, body, command_id)
        end_s = time.monotonic() + _STEP_TIMEOUT_S
        while (
            answer.status_code in _NO_LEADER_STATUSES
            and time.monotonic() < end_s
        ):
            time.sleep(_POLL_S)
            answer = self._send(path, method, body, command_id)
        _require(answer.status_code == 200, f"{path}: {answer.body!r}")
        return json.loads(answer.body)

    def _send(
        self, path: str, method: str, body: bytes, command_id: str
    ) -> http_client.HttpResponse:
        return http_client.fetch(
            f"http://{self._local.control_http}{path}",
            method=method,
            body=body,
            headers=(("X-Operator", _OPERATOR), ("X-Command-Id", command_id)),
            timeout_s=_REQUEST_TIMEOUT_S,
        )

    def _print_step(self, text: str) -> None:
        self._steps_count += 1
        self._print_line(f"{self._steps_count}. {text}")


def _wait_until(condition: Callable[[], bool], what: str) -> None:
    end_s = time.monotonic() + _STEP_TIMEOUT_S
    while not condition():
        _require(time.monotonic() < end_s, f"{what} within {_STEP_TIMEOUT_S} s")
        time.sleep(_POLL_S)


def _require(condition: bool, what: str) -> None:
    if not condition:
        raise errors.DemoError(f"not verified: {what}")
