"""Which calls of the platform's client are sent again when their connection breaks."""

import functools

from marigoldsill import errors
from marigoldsill.platform import worker_client
from marigoldsill.protocol import run_worker
from marigoldsill.transport import http_client


class _BrokenClient(http_client.Client):
    """A client whose connections break.

    Attributes:
        is_sent_once: Whether the last request was not to be sent again.
    """

    def __init__(self):
        super().__init__()
        self.is_sent_once = False

    def fetch(
        self, *_: object, single_copy: bool = False, **__: object
    ) -> http_client.HttpResponse:
        """Records whether a request is sent once."""
        self.is_sent_once = single_copy
        raise errors.TransportError("connection reset", sent=True)


@functools.cache
def is_sent_once(name: str) -> bool:
    """Whether the client sends a call of a name once if its connection breaks."""
    worker = worker_client.PlatformWorker(address="")
    worker._client = _BrokenClient()
    start = run_worker.RunStart(task="", run=1, command="", deadline_ms=0)
    calls = {
        "start": lambda: worker.start("", start, token=0),
        "stop": lambda: worker.stop("", "", 1, token=0),
        "renew": lambda: worker.renew_lease(
            "", token=0, acknowledged=0, deadline_ms=None, wait_ms=0
        ),
    }
    try:
        calls[name]()
    except errors.TransportError:
        return worker._client.is_sent_once
    raise AssertionError(f"{name} made no request")
