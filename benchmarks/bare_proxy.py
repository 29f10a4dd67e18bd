"""A baseline proxy that forwards each request to a random endpoint.

It has no limits, retries or health checks, so requests queue at the endpoints.
Run as `python -m benchmarks.bare_proxy ADDRESS...`.
"""

import random
import signal
import sys

from werkzeug import wrappers

from marigoldsill import errors
from marigoldsill.protocol import headers as headers_module
from marigoldsill.transport import http_client
from marigoldsill.transport import http_server

_THREADS_COUNT = 1500
_TIMEOUT_S = 30.0


def main() -> None:
    """Serves until SIGTERM."""
    addresses = sys.argv[1:]
    client = http_client.Client(idle_limit_count=_THREADS_COUNT)

    @wrappers.Request.application
    def forward(request: wrappers.Request) -> wrappers.Response:
        raw_path = request.environ["RAW_URI"]
        path = "/" + raw_path.split("/", 3)[3]
        caller_id = request.headers.get(headers_module.REQUEST_ID, "")
        try:
            answer = client.fetch(
                random.choice(addresses),
                path,
                headers=((headers_module.CALLER_REQUEST_ID, caller_id),),
                timeout_s=_TIMEOUT_S,
            )
        except errors.TransportError as error:
            return wrappers.Response(error.message, status=502)
        return wrappers.Response(answer.body, status=answer.status_code)

    server = http_server.HttpServer(
        address="127.0.0.1:0", app=forward, threads_count=_THREADS_COUNT
    )
    server.start()
    print(f"event=started http={server.address}", flush=True)
    signal.sigwait({signal.SIGTERM, signal.SIGINT})
    sys.exit(0)


if __name__ == "__main__":
    main()
