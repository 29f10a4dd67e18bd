"""A stand-in for the platform's worker, which runs tasks under leases.

It is run as `python -m standins.worker`. It serves the platform's worker interface
over HTTP, enforces leases by its own clock and writes a journal.
"""

import argparse
from concurrent import futures
import json
import signal
import sys
import threading
import time

from werkzeug import exceptions
from werkzeug import routing
from werkzeug import wrappers

from marigoldsill.transport import http_server
from standins import announcements
from standins import endpoint as endpoint_module
from standins import faults as faults_module
from standins import journal as journal_module
from standins import run as run_module

_TICK_S = 0.02
_HANG_TIMEOUT_S = 20.0

_URLS = routing.Map(
    [
        routing.Rule("/capacity", endpoint="capacity"),
        routing.Rule("/tasks", endpoint="tasks"),
        routing.Rule("/usage", endpoint="usage"),
        *(
            routing.Rule(f"/{name}", endpoint=name, methods=["POST"])
            for name in (
                "start",
                "renew",
                "checkpoint",
                "throttle",
                "stop",
                "forget",
                "faults",
                "agent",
                "resize",
            )
        ),
    ]
)


class Worker:
    """A worker with its capacity, runs, faults and journal."""

    def __init__(
        self,
        *,
        name: str,
        cpu_millicores: int,
        memory_bytes: int,
        accelerators_count: int,
        journal: journal_module.Journal,
        address: str = "127.0.0.1:0",
    ):
        self.name = name
        self.faults = faults_module.Faults()
        self._capacity = {
            "cpu_millicores": cpu_millicores,
            "memory_bytes": memory_bytes,
            "accelerators_count": accelerators_count,
        }
        self._journal = journal
        self._lock = threading.RLock()
        self._runs: dict[tuple[str, int], run_module.Run] = {}
        self._agent_url = ""
        self._stopping = threading.Event()
        self._executor = futures.ThreadPoolExecutor(2, f"{name}-ticker")
        self._server = http_server.HttpServer(
            address=address, app=self._application, threads_count=32
        )
        self.address = self._server.address

    def start(self) -> None:
        """Starts the server and the background threads."""
        self._journal.write(
            "worker_started", worker=self.name, **self._capacity
        )
        self._executor.submit(self._tick_runs)
        self._executor.submit(self._announce_endpoints)
        self._server.start()

    def stop(self) -> None:
        """Stops the server and all runs at once, as a failing VM does."""
        self._stopping.set()
        self._server.stop()
        with self._lock:
            for run in self._runs.values():
                self._end_run(run, "stopped", "worker stopped")
        self._executor.shutdown(wait=False)

    def set_agent_url(self, url: str) -> None:
        """Sets the URL of the agent that endpoints are announced to."""
        self._agent_url = url

    def resize(self, **capacity: int) -> None:
        """Changes the named amounts of the worker's capacity."""
        with self._lock:
            self._capacity |= capacity
            self._journal.write("capacity", worker=self.name, **self._capacity)

    def restart_without_runs(self) -> None:
        """Drops every run without reporting its end, as a restarting VM does."""
        with self._lock:
            for run in self._runs.values():
                if run.endpoint is not None:
                    run.endpoint.stop()
            self._runs.clear()
            self._journal.write(
                "worker_started", worker=self.name, **self._capacity
            )

    @wrappers.Request.application
    def _application(self, request: wrappers.Request) -> wrappers.Response:
        try:
            name, _ = _URLS.bind_to_environ(request.environ).match()
        except exceptions.HTTPException as error:
            return error.get_response()
        body = json.loads(request.get_data() or b"{}")
        if name in self.faults.hangs:
            self._stopping.wait(_HANG_TIMEOUT_S)
            return _json({"error": "no answer in time"}, status=503)
        self._stopping.wait(self.faults.late_ms.get(name, 0) / 1000)
        with self._lock:
            return getattr(self, f"_do_{name}")(body)

    def _do_capacity(self, body: dict) -> wrappers.Response:
        return _json(self._capacity)

    def _do_tasks(self, body: dict) -> wrappers.Response:
        return _json([run.to_json() for run in self._runs.values()])

    def _do_usage(self, body: dict) -> wrappers.Response:
        factor = self.faults.usage_factor
        if self.faults.usage_missing:
            return _json([])
        return _json(
            [
                {
                    "task": run.task,
                    "cpu_millicores": int(run.cpu_millicores * factor),
                    "memory_bytes": int(run.memory_bytes * factor),
                    "age_ms": self.faults.usage_lag_ms,
                    "progress_ms": int(run.progress_ms),
                }
                for run in self._runs.values()
                if run.state == "running"
            ]
        )

    def _do_start(self, body: dict) -> wrappers.Response:
        key = (body["task"], body["epoch"])
        if key in self._runs:
            return _json({})
        if time.monotonic_ns() > body["lease_end_ns"]:
            self._journal.write(
                "start_refused",
                worker=self.name,
                task=body["task"],
                epoch=body["epoch"],
                detail="the lease has run out",
            )
            return _json({"error": "the lease has run out"}, status=410)
        if self.faults.fail_starts:
            return _json({"error": "start failed"}, status=500)
        if not self._fits(body):
            return _json({"error": "does not fit"}, status=409)
        now_s = time.monotonic()
        run = run_module.Run(
            task=body["task"],
            epoch=body["epoch"],
            kind=body["kind"],
            owner=body["owner"],
            cpu_millicores=body["cpu_millicores"],
            memory_bytes=body["memory_bytes"],
            accelerators_count=body["accelerators_count"],
            run_time_ms=body["run_time_ms"],
            progress_ms=body["worked_ms"],
            lease_end_ns=body["lease_end_ns"],
            updated_s=now_s,
            checkpoint_id=body["checkpoint_id"],
            checkpoint_worked_ms=body["worked_ms"],
        )
        if run.kind == "service":
            run.endpoint = endpoint_module.Endpoint(
                service=run.owner,
                worker=self.name,
                task=run.task,
                slots_count=body["slots_count"],
                connections_count=body["connections_count"],
                journal=self._journal,
                faults=self.faults,
            )
        self._runs[key] = run
        self._journal.write(
            "run_started",
            worker=self.name,
            kind=run.kind,
            checkpoint_id=run.checkpoint_id,
            worked_ms=body["worked_ms"],
            run_time_ms=run.run_time_ms,
            **run_module.journal_fields(run),
        )
        return _json({})

    def _do_renew(self, body: dict) -> wrappers.Response:
        for run in self._runs.values():
            # Ends the run first if its lease has expired, so that an expired lease is
            # never renewed.
            self._tick_run(run)
            run.lease_end_ns = max(run.lease_end_ns, body["lease_end_ns"])
        return _json({})

    def _do_checkpoint(self, body: dict) -> wrappers.Response:
        run = self._runs.get((body["task"], body["epoch"]))
        if run is None or run.state != "running":
            return _json({"error": "not running"}, status=404)
        if self.faults.checkpoints_fail:
            return _json({"error": "checkpoint failed"}, status=500)
        self._update_progress(run)
        run.checkpoint_worked_ms = int(run.progress_ms)
        run.checkpoint_id = f"{run.task}@{run.epoch}:{int(run.progress_ms)}"
        self._journal.write(
            "run_checkpointed",
            worker=self.name,
            checkpoint_id=run.checkpoint_id,
            worked_ms=run.checkpoint_worked_ms,
            **run_module.journal_fields(run),
        )
        return _json(run.to_json())

    def _do_throttle(self, body: dict) -> wrappers.Response:
        run = self._runs.get((body["task"], body["epoch"]))
        if run is not None:
            self._update_progress(run)
            run.throttled = body["throttled"]
        return _json({})

    def _do_stop(self, body: dict) -> wrappers.Response:
        run = self._runs.get((body["task"], body["epoch"]))
        if run is not None:
            self._end_run(run, "stopped", "stopped by the agent")
        return _json({})

    def _do_forget(self, body: dict) -> wrappers.Response:
        key = (body["task"], body["epoch"])
        run = self._runs.get(key)
        if self.faults.fail_forgets:
            return _json({"error": "forget failed"}, status=500)
        if run is not None and run.state != "running":
            del self._runs[key]
        return _json({})

    def _do_faults(self, body: dict) -> wrappers.Response:
        self.faults.update(body)
        return _json({})

    def _do_agent(self, body: dict) -> wrappers.Response:
        self._agent_url = body["url"]
        return _json({})

    def _do_resize(self, body: dict) -> wrappers.Response:
        self.resize(**body)
        return _json({})

    def _fits(self, body: dict) -> bool:
        running = [r for r in self._runs.values() if r.state == "running"]
        return all(
            body[name] + sum(getattr(r, name) for r in running) <= limit
            for name, limit in self._capacity.items()
        )

    def _announce_endpoints(self) -> None:
        sent, sent_s = None, 0.0
        while not self._stopping.wait(announcements.CHECK_INTERVAL_S):
            if not self._agent_url or not self.faults.announces:
                continue
            with self._lock:
                running = [
                    r for r in self._runs.values() if r.state == "running"
                ]
            current = (
                self._agent_url,
                [r.endpoint for r in running if r.endpoint],
            )
            is_due = time.monotonic() > sent_s + announcements.REPEAT_INTERVAL_S
            if current != sent or is_due:
                sent, sent_s = current, time.monotonic()
                announcements.send(*current)

    def _tick_runs(self) -> None:
        while not self._stopping.wait(_TICK_S):
            with self._lock:
                for run in self._runs.values():
                    self._tick_run(run)

    def _tick_run(self, run: run_module.Run) -> None:
        if run.state != "running":
            return
        if time.monotonic_ns() > run.lease_end_ns:
            self._end_run(run, "stopped", "lease ran out")
            return
        self._update_progress(run)
        if run.kind != "batch_job":
            return
        if self.faults.runs_fail or run.owner in self.faults.fail_owners:
            self._end_run(run, "failed", "the run failed")
        elif run.progress_ms >= run.run_time_ms:
            self._end_run(run, "completed", "")

    def _update_progress(self, run: run_module.Run) -> None:
        now_s = time.monotonic()
        factor = self.faults.slow_factor * (4 if run.throttled else 1)
        run.progress_ms += (now_s - run.updated_s) * 1000 / factor
        run.updated_s = now_s
        if run.kind == "batch_job":
            run.progress_ms = min(run.progress_ms, run.run_time_ms)

    def _end_run(self, run: run_module.Run, state: str, detail: str) -> None:
        if run.state != "running":
            return
        run.state = state
        run.detail = detail
        if run.endpoint is not None:
            run.endpoint.stop()
        self._journal.write(
            f"run_{state}",
            worker=self.name,
            detail=detail,
            worked_ms=int(run.progress_ms),
            **run_module.journal_fields(run),
        )


def _json(value: object, *, status: int = 200) -> wrappers.Response:
    return wrappers.Response(
        json.dumps(value), status=status, mimetype="application/json"
    )


def main() -> None:
    """Runs one worker until SIGTERM or SIGINT; prints its address on a line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--cpu-millicores", type=int, default=30_000)
    parser.add_argument("--memory-bytes", type=int, default=130 << 30)
    parser.add_argument("--accelerators-count", type=int, default=0)
    parser.add_argument("--journal")
    arguments = parser.parse_args()
    worker = Worker(
        name=arguments.name,
        cpu_millicores=arguments.cpu_millicores,
        memory_bytes=arguments.memory_bytes,
        accelerators_count=arguments.accelerators_count,
        journal=journal_module.Journal(arguments.journal),
        address=arguments.address,
    )
    worker.start()
    print(f"address {worker.address}", flush=True)
    signal.sigwait({signal.SIGTERM, signal.SIGINT})
    worker.stop()
    sys.exit(0)


if __name__ == "__main__":
    main()
