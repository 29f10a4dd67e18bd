"""The control role: replicates the state and serves operators over HTTP."""

import contextlib
import os

from marigoldsill import errors
from marigoldsill import settings as settings_module
from marigoldsill.coordination.agreement import peers
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.deciding import control_service
from marigoldsill.coordination.deciding import scheduler as scheduler_module
from marigoldsill.coordination.leadership import audit_logger
from marigoldsill.coordination.plans import operator_service
from marigoldsill.protocol import message_validation
from marigoldsill.protocol.generated import Control as ControlThrift
from marigoldsill.protocol.generated import ttypes
from marigoldsill.roles import common
from marigoldsill.roles import operator_http
from marigoldsill.roles import operator_tokens as operator_tokens_module
from marigoldsill.transport import http_server
from marigoldsill.transport import logs
from marigoldsill.transport import thrift_server

_BODY_LIMIT_BYTES = 2 << 20
_HTTP_THREADS_COUNT = 32


class Control:
    """A control process.

    Attributes:
        http_address: Address that operators connect to.
        thrift_address: Address that entries, agents and peers connect to.
    """

    def __init__(
        self,
        settings: settings_module.ControlSettings,
        *,
        forms_single_member_group: bool = False,
    ):
        """Opens the data folder and binds the addresses.

        Args:
            settings: The checked settings.
            forms_single_member_group: Whether to initialise an empty data folder as a
                group with this process as its only member, for a system in one process.

        Raises:
            MembershipError: The folder belongs to another member or is in use.
            StorageError: The disk failed.
        """
        operator_tokens = operator_tokens_module.OperatorTokens(
            settings.tokens_file
        )
        self._thrift = thrift_server.ThriftServer(
            address=settings.thrift_address,
            connections_count=settings.threads_count,
            name=settings.name,
        )
        self._http = http_server.HttpServer(
            address=settings.http_address,
            app=common.create_application(
                lambda request: self._operator_http.handle(request),
                is_ready=lambda: self._replica.leader is not None,
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
        if forms_single_member_group:
            _form_single_member_group(settings, member)
        self._replica = replica_module.Replica(
            member=member,
            data_folder=settings.data_folder,
            settings=replica_module.ReplicaSettings(
                election_timeout_ms=settings.election_timeout_ms
            ),
            on_fatal=_exit_on_storage_error,
        )
        self._service = control_service.ControlService(replica=self._replica)
        self._audit_logger = audit_logger.AuditLogger(replica=self._replica)
        self._scheduler = scheduler_module.Scheduler(
            replica=self._replica, service=self._service
        )
        self._operator_http = operator_http.OperatorHttp(
            operator_service=operator_service.OperatorService(
                replica=self._replica, service=self._service
            ),
            tokens=operator_tokens,
        )
        self._thrift.add_service(
            "control",
            ControlThrift.Processor(
                message_validation.ValidatingHandler(self._service)
            ),
        )
        self._thrift.add_service(peers.SERVICE_NAME, self._replica.processor)

    def start(self) -> None:
        """Starts serving."""
        self._replica.start()
        self._scheduler.start()
        self._thrift.start()
        self._http.start()
        logs.event(
            "started", http=self.http_address, thrift=self.thrift_address
        )

    def stop(self) -> None:
        """Stops serving; the state on disk remains."""
        self._scheduler.stop()
        self._http.stop(drain_limit_s=2.0)
        self._thrift.stop()
        self._replica.stop()
        logs.event("stopped")


def initialise(settings: settings_module.ControlInitSettings) -> int:
    """Forms a group in an empty data folder and returns its cluster id.

    Raises:
        MembershipError: The folder already belongs to a cluster.
        BadInputError: The members are invalid.
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
    """Forms a new group from a survivor's data folder and returns its cluster id.

    Raises:
        MembershipError: The folder belongs to no cluster.
        StorageError: The folder is damaged, or the disk failed.
    """
    return replica_module.recover(settings.data_folder, own_name=settings.name)


def _form_single_member_group(
    settings: settings_module.ControlSettings, member: ttypes.Member
) -> None:
    with contextlib.suppress(errors.MembershipError):
        replica_module.initialise(
            settings.data_folder, [member], own_name=settings.name
        )


def _exit_on_storage_error(error: errors.StorageError) -> None:
    logs.event("disk_failed", level="ERROR", reason=error.message)
    logs.flush()
    os._exit(error.exit_code)


def run(settings: settings_module.ControlSettings) -> None:
    """Runs a control process until a stop signal."""
    common.run(lambda: Control(settings))
