"""The HTTP interface of a control process for operators."""

import json
import re
import uuid

from werkzeug import wrappers

from marigoldsill import errors
from marigoldsill.coordination.plans import (
    operator_service as operator_service_module,
)
from marigoldsill.protocol import json_format
from marigoldsill.roles import common
from marigoldsill.roles import operator_tokens as operator_tokens_module

_WHOLE_NUMBER = re.compile(r"[0-9]{1,18}", re.ASCII)
_GUARD_NAME = re.compile(r"[a-z0-9-]{1,64}")
# Maximum number of characters of an invalid value in an error message.
_QUOTED_LENGTH = 40


class OperatorHttp:
    """Authenticates operators' requests and passes them to the operator service."""

    def __init__(
        self,
        *,
        operator_service: operator_service_module.OperatorService,
        tokens: operator_tokens_module.OperatorTokens,
    ):
        self._operator_service = operator_service
        self._tokens = tokens

    def handle(self, request: wrappers.Request) -> wrappers.Response:
        """Answers one request.

        Raises:
            MarigoldsillError: The request failed; the response reports this error.
        """
        operator_name = self._tokens.authenticate(
            authorization=request.headers.get("Authorization", ""),
            claimed_name=request.headers.get("X-Operator", ""),
        )
        command_id = request.headers.get("X-Command-Id") or str(uuid.uuid4())
        match (request.method, *request.path.strip("/").split("/")):
            case ("POST", "v1", "plans", action):
                plan = self._operator_service.create_plan(
                    action,
                    request.get_data(),
                    operator_name=operator_name,
                    command_id=command_id,
                )
                return common.json_response(json_format.record_to_json(plan))
            case ("POST", "v1", "plans", plan_id, "confirm"):
                return common.json_response(
                    self._operator_service.confirm_plan(
                        _parse_plan_id(plan_id),
                        _parse_acknowledged(request.get_data()),
                        operator_name=operator_name,
                        command_id=command_id,
                    )
                )
            case ("GET", "v1", "status"):
                return common.json_response(self._operator_service.get_status())
            case ("GET", "v1", "explain", name):
                return common.json_response(
                    self._operator_service.explain(name)
                )
            case ("GET", "v1", "plans", plan_id):
                return common.json_response(
                    self._operator_service.get_plan(_parse_plan_id(plan_id))
                )
            case ("GET", "v1", "audit"):
                since = _parse_sequence(request.args.get("since", "0"))
                return common.json_response(
                    self._operator_service.list_audit_records(since=since)
                )
            case _:
                raise errors.NotFoundError(
                    f"unknown request {request.method} {request.path!r}"
                )


def _parse_plan_id(text: str) -> int:
    if not _WHOLE_NUMBER.fullmatch(text):
        raise errors.NotFoundError(
            f"invalid plan id {text[:_QUOTED_LENGTH]!r}: "
            "expected a whole number of at most 18 digits"
        )
    return int(text)


def _parse_sequence(text: str) -> int:
    if not _WHOLE_NUMBER.fullmatch(text):
        raise errors.BadInputError(
            f"invalid since {text[:_QUOTED_LENGTH]!r}: "
            "expected the sequence number of a record, at most 18 digits"
        )
    return int(text)


def _parse_acknowledged(body: bytes) -> list[str]:
    if not body:
        return []
    try:
        names = json.loads(body)["acknowledged"]
    except (ValueError, KeyError, TypeError, RecursionError):
        names = None
    if not isinstance(names, list) or not all(map(_is_guard_name, names)):
        raise errors.BadInputError(
            'invalid confirmation: expected {"acknowledged": ["guard", ...]}'
        )
    return names


def _is_guard_name(value: object) -> bool:
    return isinstance(value, str) and bool(_GUARD_NAME.fullmatch(value))
