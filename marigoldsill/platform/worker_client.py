"""Client for the calls to one worker of the platform."""

import json

from marigoldsill import errors
from marigoldsill.platform import fields as fields_module
from marigoldsill.platform import worker_bodies
from marigoldsill.protocol import incarnation_ids
from marigoldsill.protocol import run_worker
from marigoldsill.transport import http_client

# A worker on the same VM answers in a few ms or not at all.
_TIMEOUT_S = 0.5
_STATUS_OK = 200
_STATUS_OTHER_WORKER = 421
_STATUS_CONFLICT = 409
_STATUSES_REFUSED = (400, _STATUS_CONFLICT)
_STATUSES_UNWELL = (429, 503)
_REASONS = {
    "fence": run_worker.RefusalReason.FENCED,
    "old": run_worker.RefusalReason.OUTDATED,
    "late": run_worker.RefusalReason.TOO_LATE,
    "room": run_worker.RefusalReason.NO_CAPACITY,
    "ticket": run_worker.RefusalReason.NO_TICKET,
}


class PlatformWorker(run_worker.RunWorker):
    """Calls the worker of this VM over HTTP."""

    def __init__(self, *, address: str):
        self._address = address
        self._client = http_client.Client()

    def start(
        self, worker_id: str, start: run_worker.RunStart, *, token: int
    ) -> int:
        """Starts a run."""
        body: dict[str, object] = {
            "task": start.task,
            "run": start.run,
            "spec": start.command,
            "deadline_ms": start.deadline_ms,
            "fencing_token": token,
        }
        if start.checkpoint_id:
            body["last_checkpoint"] = start.checkpoint_id
        if start.ticket:
            body["ticket"] = start.ticket
        # The answer to another copy would hide that the first may begin the run.
        return self._order("run-start", worker_id, body, single_copy=True)

    def stop(self, worker_id: str, task: str, run: int, *, token: int) -> int:
        """Stops a run."""
        body = {"task": task, "run": run, "fencing_token": token}
        return self._order("run-stop", worker_id, body)

    def renew_lease(
        self,
        worker_id: str,
        *,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> run_worker.RunListing:
        """Extends the lease of all runs and returns a listing."""
        body = {"fencing_token": token, "acked_through": acknowledged}
        if deadline_ms is not None:
            body["deadline_ms"] = deadline_ms
        if wait_ms:
            body["wait_ms"] = wait_ms
        answer = self._call(
            "hold",
            worker_id,
            body,
            timeout_s=_TIMEOUT_S + wait_ms / 1000,
            # A later incarnation may carry out the first of two copies.
            single_copy=incarnation_ids.keeps_name(worker_id),
        )
        if answer.status_code != _STATUS_OK:
            raise _error_of("hold", answer)
        return worker_bodies.decode_listing(answer.body, worker_id=worker_id)

    def throttle(
        self, worker_id: str, task: str, run: int, *, percent: int, token: int
    ) -> int:
        """Limits a run to a share of its speed."""
        body = {
            "task": task,
            "run": run,
            "percent": percent,
            "fencing_token": token,
        }
        return self._order("pace", worker_id, body)

    def _order(
        self,
        name: str,
        worker_id: str,
        body: dict[str, object],
        *,
        single_copy: bool = False,
    ) -> int:
        """Calls the worker and returns its clock, in milliseconds.

        Raises:
            TransportError: No answer of this incarnation came. Another one of the same
                id that answered has carried the order out.
        """
        answer = self._call(name, worker_id, body, single_copy=single_copy)
        if answer.status_code == _STATUS_OTHER_WORKER:
            raise _error_of(name, answer)
        try:
            table = fields_module.decode_json(answer.body, where="the answer")
            worker_bodies.check_answering(
                table, worker_id=worker_id, required=False
            )
            clock_ms = table.get_integer("clock_ms")
        except errors.OtherWorkerError as error:
            raise errors.TransportError(error.message, sent=True) from error
        except errors.BadInputError as error:
            if answer.status_code == _STATUS_OK:
                raise errors.PlatformError(error.message) from error
        if answer.status_code != _STATUS_OK:
            raise _error_of(name, answer)
        return clock_ms

    def _call(
        self,
        name: str,
        worker_id: str,
        body: dict[str, object],
        *,
        timeout_s: float = _TIMEOUT_S,
        single_copy: bool = False,
    ) -> http_client.HttpResponse:
        return self._client.fetch(
            self._address,
            f"/marigoldsill/{name}",
            method="POST",
            body=json.dumps(body).encode(),
            headers=(
                ("Content-Type", "application/json"),
                # The worker that the call is for. All incarnations of a worker that
                # restarts under its id have the same one.
                ("Target-Instance", incarnation_ids.name_of(worker_id)),
            ),
            timeout_s=timeout_s,
            single_copy=single_copy,
        )


def _error_of(
    name: str, answer: http_client.HttpResponse
) -> errors.PlatformError:
    """Returns the typed error for an answer with an error status."""
    text = answer.body.decode(errors="replace")[:200]
    message = f"{name} failed with status {answer.status_code}: {text}"
    if answer.status_code == _STATUS_OTHER_WORKER:
        return errors.OtherWorkerError(message)
    if answer.status_code in _STATUSES_UNWELL:
        return errors.WorkerUnwellError(message)
    if answer.status_code not in _STATUSES_REFUSED:
        return errors.UnexpectedStatusError(message)
    reason = run_worker.RefusalReason.INVALID
    if answer.status_code == _STATUS_CONFLICT:
        reason = _REASONS.get(_decode_reason(answer), reason)
    return errors.RunRefusedError(message, reason=reason)


def _decode_reason(answer: http_client.HttpResponse) -> str:
    """Returns the reason of a refusal; empty if there is none."""
    try:
        table = fields_module.decode_json(answer.body, where="the refusal")
        return table.get_string("reason", default="")
    except errors.BadInputError:
        return ""
