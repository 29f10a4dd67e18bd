"""Client of the platform's adviser, which decides which workers may run a step."""

from collections.abc import Sequence
import json

from marigoldsill import errors
from marigoldsill.platform import fields as fields_module
from marigoldsill.protocol import adviser
from marigoldsill.protocol import incarnation_ids
from marigoldsill.transport import http_client

_PATH = "/marigoldsill/advise"
_STATUS_OK = 200
_STATUS_BUSY = 429


class PlatformAdviser(adviser.Adviser):
    """Requests tickets from the adviser over HTTP."""

    def __init__(self, *, address: str):
        self._address = address
        self._client = http_client.Client()

    def advise(
        self, step: str, worker_ids: Sequence[str], *, timeout_s: float
    ) -> list[adviser.Ticket]:
        """Sends one request, without retries.

        The adviser knows workers by the ids that they send, without a start time.
        """
        ids_by_name = {
            incarnation_ids.name_of(worker_id): worker_id
            for worker_id in worker_ids
        }
        answer = self._client.fetch(
            self._address,
            _PATH,
            method="POST",
            body=json.dumps({"step": step, "workers": [*ids_by_name]}).encode(),
            headers=(("Content-Type", "application/json"),),
            timeout_s=timeout_s,
            single_copy=True,
        )
        if answer.status_code == _STATUS_BUSY:
            raise errors.AdviserBusyError("the adviser accepts no calls now")
        if answer.status_code != _STATUS_OK:
            raise errors.PlatformError(
                f"the adviser answered with status {answer.status_code}"
            )
        return [
            adviser.Ticket(ids_by_name.get(name, name), text)
            for name, text in _decode_rows(answer.body)
        ]


def _decode_rows(body: bytes) -> list[tuple[str, str]]:
    """Returns the name of each worker that may run the step, and its ticket."""
    try:
        table = fields_module.decode_json(body, where="the advice")
        # "good" lists pairs of a worker's id and its ticket.
        rows = table.get_list("good")
        return [(str(worker), str(text)) for worker, text in rows]
    except (errors.BadInputError, ValueError, TypeError) as error:
        raise errors.PlatformError(f"invalid advice: {error}") from error
