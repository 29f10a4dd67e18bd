"""The control role: the replicated state, and HTTP for operators."""

import contextlib
import json
import os
import re
import uuid

from werkzeug import wrappers

from marigoldsill import errors
from marigoldsill import settings as settings_module
from marigoldsill.coordination import audit_log
from marigoldsill.coordination import control_service
from marigoldsill.coordination import operators
from marigoldsill.coordination import peers
from marigoldsill.coordination import replica as replica_module
from marigoldsill.coordination import scheduler as scheduler_module
from marigoldsill.protocol import checks
from marigoldsill.protocol import shapes
from marigoldsill.protocol.generated import Control as ControlThrift
from marigoldsill.protocol.generated import ttypes
from marigoldsill.roles import common
from marigoldsill.roles import tokens
from marigoldsill.transport import http_server
from marigoldsill.transport import logs
from marigoldsill.transport import thrift_server

_BODY_LIMIT_BYTES = 2 << 20
_HTTP_THREADS_COUNT = 32
_WHOLE_NUMBER = re.compile(r"[0-9]{1,18}", re.ASCII)
_GUARD_NAME = re.compile(r"[a-z0-9-]{1,64}")
_SHOWN_LENGTH = 40


class Control:
    """One control process.

    Attributes:
        http_address: Where operators reach it.
        thrift_address: Where entries, agents and peers reach it.
    """

    def __init__(
        self,
        settings: settings_module.ControlSettings,
        *,
        forms_alone: bool = False,
    ):
        """Opens the data folder and takes the addresses.

        Args:
            settings: As checked.
            forms_alone: Whether an empty folder becomes a group of this
                process alone, for a system in one process.

        Raises:
            MembershipError: The folder is another member's, or in use.
            StorageError: The disk failed.
        """
        self._tokens = tokens.OperatorTokens(settings.tokens_file)
        self._thrift = thrift_server.ThriftServer(
            address=settings.thrift_address,
            connections_count=settings.threads_count,
            name=settings.name,
        )
        self._http = http_server.HttpServer(
            address=settings.http_address,
            app=common.application(
                self._handle,
                ready=lambda: self._replica.leader is not None,
                body_limit_bytes=_BODY_LIMIT_BYTES,
            ),
            threads_count=_HTTP_THREADS_COUNT,
        )
        self.http_address = self._http.address
        self.thrift_address = self._thrift.address
        member = ttypes.Member(
            name=settings.name,
            address=self.thrift_address,
            http_address=self.http_address,
            data_centre=settings.data_centre,
        )
        if forms_alone:
            _form_alone(settings, member)
        self._replica = replica_module.Replica(
            member=member,
            data_folder=settings.data_folder,
            settings=replica_module.ReplicaSettings(
                election_timeout_ms=settings.election_timeout_ms
            ),
            on_fatal=_end_process,
        )
        self._service = control_service.ControlService(replica=self._replica)
        self._audit_log = audit_log.AuditLog(replica=self._replica)
        self._scheduler = scheduler_module.Scheduler(
            replica=self._replica, service=self._service
        )
        self._operators = operators.Operators(
            replica=self._replica, service=self._service
        )
        self._thrift.add(
            "control", ControlThrift.Processor(checks.Checked(self._service))
        )
        self._thrift.add(peers.SERVICE_NAME, self._replica.processor)

    def start(self) -> None:
        """Begins to serve."""
        self._replica.start()
        self._scheduler.start()
        self._thrift.start()
        self._http.start()
        logs.event(
            "started", http=self.http_address, thrift=self.thrift_address
        )

    def stop(self) -> None:
        """Leaves off; the state on disk stays as it is."""
        self._scheduler.stop()
        self._http.stop(drain_limit_s=2.0)
        self._thrift.stop()
        self._replica.stop()
        logs.event("stopped")

    def _handle(self, request: wrappers.Request) -> wrappers.Response:
        operator_name = self._tokens.operator_of(
            authorization=request.headers.get("Authorization", ""),
            claimed_name=request.headers.get("X-Operator", ""),
        )
        command_id = request.headers.get("X-Command-Id") or str(uuid.uuid4())
        match (request.method, *request.path.strip("/").split("/")):
            case ("POST", "v1", "plans", action):
                plan = self._operators.plan(
                    action,
                    request.get_data(),
                    operator_name=operator_name,
                    command_id=command_id,
                )
                return common.json_response(shapes.of_record(plan))
            case ("POST", "v1", "plans", plan_id, "confirm"):
                return common.json_response(
                    self._operators.confirm(
                        _plan_id(plan_id),
                        _acknowledged(request.get_data()),
                        operator_name=operator_name,
                        command_id=command_id,
                    )
                )
            case ("GET", "v1", "status"):
                return common.json_response(self._operators.status())
            case ("GET", "v1", "explain", name):
                return common.json_response(self._operators.explain(name))
            case ("GET", "v1", "plans", plan_id):
                return common.json_response(
                    self._operators.show(_plan_id(plan_id))
                )
            case ("GET", "v1", "audit"):
                since = _sequence(request.args.get("since", "0"))
                return common.json_response(self._operators.audit(since=since))
            case _:
                raise errors.NotFoundError(
                    f"{request.method} {request.path} is nothing here"
                )


def _plan_id(text: str) -> int:
    if not _WHOLE_NUMBER.fullmatch(text):
        raise errors.NotFoundError(f"there is no plan {text[:_SHOWN_LENGTH]!r}")
    return int(text)


def _sequence(text: str) -> int:
    if not _WHOLE_NUMBER.fullmatch(text):
        raise errors.BadInputError(
            f"since is {text[:_SHOWN_LENGTH]!r}; accepted is the sequence number of a record"
        )
    return int(text)


def _acknowledged(body: bytes) -> list[str]:
    if not body:
        return []
    try:
        names = json.loads(body)["acknowledged"]
    except (ValueError, KeyError, TypeError, RecursionError):
        names = None
    if not isinstance(names, list) or not all(map(_is_guard_name, names)):
        raise errors.BadInputError(
            'no confirmation; accepted is {"acknowledged": ["guard", ...]}'
        )
    return names


def _is_guard_name(value: object) -> bool:
    return isinstance(value, str) and bool(_GUARD_NAME.fullmatch(value))


def initialise(settings: settings_module.ControlInitSettings) -> int:
    """Forms a group in an empty data folder; returns its cluster id.

    Raises:
        MembershipError: The folder belongs to a cluster already.
        BadInputError: The members are not acceptable.
        StorageError: The disk failed.
    """
    members = [
        ttypes.Member(
            name=member.name,
            address=member.thrift_address,
            http_address=member.http_address,
        )
        for member in settings.members
    ]
    return replica_module.initialise(
        settings.data_folder, members, own_name=settings.name
    )


def recover(settings: settings_module.ControlRecoverSettings) -> int:
    """Forms a new group from a survivor's folder; returns its cluster id.

    Raises:
        MembershipError: The folder holds no cluster.
        StorageError: The folder is damaged, or the disk failed.
    """
    return replica_module.recover(settings.data_folder, own_name=settings.name)


def _form_alone(
    settings: settings_module.ControlSettings, member: ttypes.Member
) -> None:
    with contextlib.suppress(errors.MembershipError):
        replica_module.initialise(
            settings.data_folder, [member], own_name=settings.name
        )


def _end_process(error: errors.StorageError) -> None:
    logs.event("disk_failed", level="ERROR", reason=error.message)
    os._exit(error.exit_code)


def run(settings: settings_module.ControlSettings) -> None:
    """Runs the role until a signal."""
    common.run(lambda: Control(settings))
