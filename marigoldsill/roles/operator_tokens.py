"""Operator tokens, which authenticate operators' requests."""

import hmac
import pathlib
import threading

from marigoldsill import errors

_SCHEME = "Bearer "
_TOKEN_MIN_LENGTH = 16
_DEFAULT_OPERATOR = "operator"


class OperatorTokens:
    """The tokens in a file, which is read again whenever it changes.

    Each line holds an operator's name and a token; empty lines and lines that
    begin with '#' are ignored. Without a file no token is required, and the
    name that a request claims is accepted.
    """

    def __init__(self, path: str):
        self._path = pathlib.Path(path) if path else None
        self._lock = threading.Lock()
        self._modified_ns = -1
        self._tokens: dict[str, bytes] = {}
        if self._path is not None:
            self._reload_if_changed()

    def authenticate(self, *, authorization: str, claimed_name: str) -> str:
        """Returns the name of the operator who sent a request.

        Args:
            authorization: The Authorization header, or empty.
            claimed_name: The operator's name according to the request, or empty.

        Raises:
            UnauthorizedError: The request carries no valid token.
        """
        if self._path is None:
            return claimed_name or _DEFAULT_OPERATOR
        if not authorization.startswith(_SCHEME):
            raise errors.UnauthorizedError(
                "missing operator token: expected the header 'Authorization: "
                "Bearer TOKEN' (on the command line: --token-file)"
            )
        with self._lock:
            self._reload_if_changed()
            return self._find_operator(authorization[len(_SCHEME) :].strip())

    def _find_operator(self, token: str) -> str:
        given = token.encode()
        # All tokens are compared, so that the time reveals nothing about them.
        names = [
            name
            for name, known in self._tokens.items()
            if hmac.compare_digest(known, given)
        ]
        if not names:
            raise errors.UnauthorizedError("unknown operator token")
        return names[0]

    def _reload_if_changed(self) -> None:
        try:
            modified_ns = self._path.stat().st_mtime_ns
            if modified_ns == self._modified_ns:
                return
            text = self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            self._tokens = {}
            self._modified_ns = -1
            raise errors.SettingsError(
                f"cannot read tokens file {str(self._path)!r}: {error}"
            ) from error
        self._tokens = _parse(text, str(self._path))
        self._modified_ns = modified_ns


def _parse(text: str, path: str) -> dict[str, bytes]:
    numbered = enumerate(text.splitlines(), start=1)
    lines = [
        (number, line.split())
        for number, line in numbered
        if line.strip() and not line.lstrip().startswith("#")
    ]
    invalid = [number for number, words in lines if not _is_valid_line(words)]
    if invalid:
        raise errors.SettingsError(
            f"tokens file {path!r}, line {', '.join(map(str, invalid))}: "
            "expected 'operator token', the token with at least "
            f"{_TOKEN_MIN_LENGTH} characters"
        )
    tokens = {name: token.encode() for _, (name, token) in lines}
    if len(tokens) != len(lines) or len(set(tokens.values())) != len(lines):
        raise errors.SettingsError(
            f"tokens file {path!r} contains an operator or a token twice"
        )
    return tokens


def _is_valid_line(words: list[str]) -> bool:
    return len(words) == 2 and len(words[1]) >= _TOKEN_MIN_LENGTH
