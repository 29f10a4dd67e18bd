"""The HTTP client of operators' commands: finds the leader and retries requests."""

from collections.abc import Iterator
import dataclasses
import json
import pathlib
import time
import uuid

from marigoldsill import errors
from marigoldsill import setting_parsers
from marigoldsill.protocol import json_format
from marigoldsill.transport import http_client

_ATTEMPT_TIMEOUT_S = 5.0
_TIMEOUT_S = 20.0
# Pause between two rounds over the addresses.
_ROUND_PAUSE_S = 0.2


@dataclasses.dataclass(slots=True)
class Client:
    """Sends requests to the control process that leads.

    Attributes:
        addresses: HTTP addresses of the control processes.
        operator_name: Name sent with each request; the name that belongs to the
            token takes precedence.
        token: The operator's token, or empty.
        timeout_s: How long to retry until a leader answers.
    """

    addresses: tuple[str, ...]
    operator_name: str = "operator"
    token: str = ""
    timeout_s: float = _TIMEOUT_S

    def get(self, path: str) -> object:
        """Reads a resource.

        Raises:
            NotRunError: No leader answered in time.
        """
        return self._request("GET", path, b"", command_id="")

    def post(self, path: str, body: bytes, *, command_id: str = "") -> object:
        """Sends a command, again with the same id if the answer is lost.

        Raises:
            NotRunError: No leader answered in time; the command did not run.
            UnknownOutcomeError: The outcome was not known in time; the message
                names the command id with which to repeat the command.
        """
        command_id = command_id or str(uuid.uuid4())
        return self._request("POST", path, body, command_id=command_id)

    def _request(
        self, method: str, path: str, body: bytes, *, command_id: str
    ) -> object:
        end_s = time.monotonic() + self.timeout_s
        failure: errors.MarigoldsillError = errors.NoQuorumError(
            "no control process answered"
        )
        may_have_run = False
        rotation = _AddressRotation(self.addresses)
        for address in rotation:
            try:
                answer = self._fetch(address, method, path, body, command_id)
            except errors.TransportError as error:
                may_have_run = may_have_run or (error.sent and method != "GET")
                failure = errors.NoQuorumError(error.message)
            else:
                if answer.status_code < 400:
                    return _parse_json(answer)
                failure = json_format.error_from_json(_parse_json(answer))
                is_unknown = isinstance(failure, errors.UnknownOutcomeError)
                may_have_run = may_have_run or is_unknown
                if not is_unknown and not isinstance(
                    failure, errors.NotRunError
                ):
                    raise failure
                if isinstance(failure, errors.NotLeaderError):
                    rotation.try_next(failure.leader_http)
            if time.monotonic() >= end_s:
                break
        if may_have_run:
            raise errors.UnknownOutcomeError(
                f"the command may have taken effect: {failure.message}; "
                f"repeat it with --command-id {command_id}"
            )
        raise failure

    def _fetch(
        self, address: str, method: str, path: str, body: bytes, command_id: str
    ) -> http_client.HttpResponse:
        headers = [("X-Operator", self.operator_name)]
        if command_id:
            headers.append(("X-Command-Id", command_id))
        if self.token:
            headers.append(("Authorization", f"Bearer {self.token}"))
        return http_client.fetch(
            f"http://{address}{path}",
            method=method,
            body=body,
            headers=tuple(headers),
            timeout_s=_ATTEMPT_TIMEOUT_S,
            # The refusal of another copy would hide that the first may take effect.
            single_copy=method != "GET",
        )


class _AddressRotation:
    """Yields addresses in turn without end; the address of a leader comes next."""

    def __init__(self, addresses: tuple[str, ...]):
        self._addresses = addresses
        self._leader_address = ""

    def try_next(self, address: str) -> None:
        """Makes an address the next one; an empty one has no effect."""
        self._leader_address = address

    def __iter__(self) -> Iterator[str]:
        while True:
            for address in self._addresses:
                yield address
                if self._leader_address:
                    leader_address, self._leader_address = (
                        self._leader_address,
                        "",
                    )
                    yield leader_address
            time.sleep(_ROUND_PAUSE_S)


def create_client(
    control_http: str, token_file: pathlib.Path | None, operator: str
) -> Client:
    """Creates a client from the options of a command.

    Raises:
        SettingsError: An address is invalid or the token can't be read.
    """
    return Client(
        addresses=setting_parsers.parse_addresses(control_http),
        operator_name=operator,
        token=_read_token(token_file) if token_file else "",
    )


def _read_token(path: pathlib.Path) -> str:
    try:
        token = path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f"cannot read --token-file {str(path)!r}: {error}"
        ) from error
    if not token or len(token.split()) != 1:
        raise errors.SettingsError(
            f"--token-file {str(path)!r}: expected one token and nothing else"
        )
    return token


def _parse_json(answer: http_client.HttpResponse) -> object:
    try:
        return json.loads(answer.body)
    except ValueError as error:
        raise errors.TransportError(
            f"the answer with status {answer.status_code} is not JSON: "
            "expected the HTTP address of a control process",
            sent=True,
        ) from error
