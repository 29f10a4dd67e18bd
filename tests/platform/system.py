"""A system of processes on loopback addresses, as on the users' platform."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import json
import pathlib
import random
import re
import types

from marigoldsill import errors
from marigoldsill.transport import http_client
from standins import adviser as adviser_module
from standins import gangs
from standins import journal as journal_module
from standins import pool_worker
from tests import one_process

_FRONTEND_PORT, _READINESS_PORT, _CONTROL_PORT = 8161, 8167, 8166
_WORKER_PORT, _INTERNAL_PORT = 8165, 7720
_METRICS_PORT = 9464
HOST = "jobs.example"
POOL = "desk"
_JSON = ("Content-Type", "application/json")
_LEADER_ELECTED = re.compile(r" event=leader_elected .*?term=(\d+)")
_SETTINGS = """
node_name = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "r"
internal_ports = [{internal}, {internal_last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
data_dir = "{data}"
app = "{app}"
recommendation = "{adviser}"
unknown_field = "is ignored"
[listen_addresses]
{listen}
[fault_tolerance]
machines = 1
[bounds]
max_hold_ms = 6000
grace_s = 6
status_s = 120
"""


@dataclasses.dataclass(slots=True)
class Answer:
    """The answer to an HTTP call.

    Attributes:
        status: The status; 0 if there was no answer.
        value: The decoded body.
        retry_after_s: The time after which to call again, in seconds; 0 if none was
            told.
    """

    status: int
    value: dict
    retry_after_s: int = 0


class System:
    """Edge and side processes and stand-in workers, with calls to them."""

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        stateful_edges_count: int = 3,
        stateless_edges_count: int = 0,
        data_centres: Sequence[str] = ("z1",),
        proxy_address: Callable[[str], str] = lambda address: address,
        advertise: Callable[[str], str] = lambda address: address,
        edge_environment: Mapping[str, str] = types.MappingProxyType({}),
        workers_send_born: bool = False,
    ):
        """Creates a system without starting it.

        Args:
            folder: The folder for logs, settings and state.
            stateful_edges_count: Number of edge processes with a disk.
            stateless_edges_count: Number of edge processes without a disk.
            data_centres: The data centres of the workers, which take turns.
            proxy_address: Returns the address for calls between a worker and its
                agent and from clients to an edge, given the callee's address; for
                a proxy in between.
            advertise: Returns the address that an edge advertises, given its
                listen address; another host with the same port.
            edge_environment: Environment variables of all edge processes.
            workers_send_born: Whether workers tell when they started, and can restart
                under their id.
        """
        self._workers_send_born = workers_send_born
        self.folder = folder
        self._data_centres = data_centres
        self._proxy_address = proxy_address
        self._advertise = advertise
        self._edge_environment = edge_environment
        self.processes: dict[str, one_process.Process] = {}
        self.workers: dict[str, pool_worker.PoolWorker] = {}
        self.adviser: adviser_module.Adviser | None = None
        self.journal_path = folder / "journal"
        self._journal = journal_module.Journal(str(self.journal_path))
        self._gangs = gangs.Gangs()
        numbers = random.SystemRandom()
        # The last octet is 11 to 99 for edges and 101 or more for sides; the next
        # block is reserved for `advertise`.
        block = f"127.{numbers.randrange(1, 255)}.{numbers.randrange(1, 254)}"
        edges_count = stateful_edges_count + stateless_edges_count
        self._ips = {
            f"edge-{n}": f"{block}.{10 + n}" for n in range(1, edges_count + 1)
        }
        self._stateful_edges = set(list(self._ips)[:stateful_edges_count])
        self._seeds = list(self._ips)[:3]
        self._seeds_by_process: dict[str, list[str]] = {}
        self._settings: dict[str, dict[str, str]] = {}
        self._block = block
        self._client = http_client.Client()
        self._first_start = True

    def start(self, *, workers_count: int = 2, cpu_millicores: int = 8000):
        """Starts all processes not running yet and replaces the configuration."""
        for name in self._ips:
            if name not in self.processes:
                self.start_edge(name)
        for number in range(1, workers_count + 1):
            self.start_side(f"side-{number}", cpu_millicores=cpu_millicores)
        self.replace_configuration(1)
        self.clear_first_start()

    def clear_first_start(self) -> None:
        """Clears the flag of the first start in settings written from now on."""
        self._first_start = False

    def start_edge(self, name: str) -> None:
        """Starts or restarts an edge process."""
        listen = "\n".join(
            f'{what} = "{self._ips[name]}:{port}"'
            for what, port in (
                ("frontend", _FRONTEND_PORT),
                ("readiness", _READINESS_PORT),
                ("control", _CONTROL_PORT),
            )
        )
        data = (
            str(self.data_folder(name)) if name in self._stateful_edges else ""
        )
        self._start_process(name, "edge", self._ips[name], listen, data=data)

    def start_side(
        self,
        name: str,
        *,
        cpu_millicores: int = 8000,
        data_centre: str = "",
    ) -> None:
        """Starts an agent, and its worker unless it is running."""
        ip = f"{self._block}.{100 + _number(name)}"
        control = f"{ip}:{_CONTROL_PORT}"
        app = f"{ip}:{_WORKER_PORT}"
        if name not in self.workers:
            worker = pool_worker.PoolWorker(
                address=app,
                control_address=self._proxy_address(control),
                pool=POOL,
                data_centre=data_centre or self.data_centre(name),
                labels=["a", machine_label(name)],
                cpu_millicores=cpu_millicores,
                journal=self._journal,
                gangs=self._gangs,
                sends_born=self._workers_send_born,
            )
            worker.start()
            self.workers[name] = worker
        listen = f'control = "{control}"'
        self._start_process(
            name, "side", ip, listen, app=self._proxy_address(app)
        )

    def restart(self, name: str) -> None:
        """Restarts a process that has ended."""
        if name in self.workers:
            self.start_side(name)
        else:
            self.start_edge(name)

    def data_centre(self, name: str) -> str:
        """Returns the data centre of a worker, unless it was started in another."""
        return self._data_centres[_number(name) % len(self._data_centres)]

    def frontend_address(self, name: str) -> str:
        """Returns the address where an edge process serves clients."""
        return f"{self._ips[name]}:{_FRONTEND_PORT}"

    def client_address(self, name: str) -> str:
        """Returns the address where clients call an edge process, maybe a proxy's."""
        return self._proxy_address(self.frontend_address(name))

    def control_address(self, name: str) -> str:
        """Returns the address where a process serves operators or its worker."""
        return f"{self._settings[name]['ip']}:{_CONTROL_PORT}"

    def advertised_address(self, name: str) -> str:
        """Returns the address that an edge process advertises to other processes."""
        return self._advertise(f"{self._ips[name]}:{_INTERNAL_PORT}")

    def kill(self, *names: str) -> None:
        """Kills processes; their folders are kept."""
        for name in names:
            self.processes.pop(name).kill()

    def change_seeds(self, *names: str, processes: Sequence[str] = ()) -> None:
        """Changes the seeds in settings files, without a signal to the processes.

        Args:
            *names: The seeds.
            processes: The processes whose settings change; all of them if empty.
        """
        if processes:
            self._seeds_by_process |= dict.fromkeys(processes, list(names))
        else:
            self._seeds, self._seeds_by_process = list(names), {}
        for name in processes or self._settings:
            self._write_settings(name)

    def member_names(self) -> list[str]:
        """Returns the names of the edge processes with a disk."""
        return sorted(self._stateful_edges)

    def running_edges(self) -> list[str]:
        """Returns the names of the edge processes that are running."""
        return [name for name in self.processes if name.startswith("edge")]

    def find_leader(self) -> str:
        """Returns the edge process that was elected most often, by the logs."""
        elected = {
            name: len(self.processes[name].text().split("leader_elected"))
            for name in self.running_edges()
        }
        return max(elected, key=elected.get)

    def find_current_leader(self) -> str | None:
        """Returns the running member that was elected last, by the logs, if any."""
        terms = {
            name: int(term)
            for name in self.member_names()
            if not self.processes[name].has_ended()
            for term in _LEADER_ELECTED.findall(self.processes[name].text())
        }
        return max(terms, key=terms.get, default=None)

    def data_folder(self, name: str) -> pathlib.Path:
        """Returns the folder where an edge process stores its state."""
        return self.folder / f"{name}.data"

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        edge: str | None = None,
        host: str = HOST,
        port: int = _FRONTEND_PORT,
        raw: bytes | None = None,
    ) -> Answer:
        """Makes one HTTP call to an edge process."""
        edge = edge or self.running_edges()[0]
        data = raw if raw is not None else b""
        if body is not None:
            data = json.dumps(body).encode()
        try:
            answer = self._client.fetch(
                self._proxy_address(f"{self._ips[edge]}:{port}"),
                path,
                method=method,
                body=data,
                headers=(("Host", host), _JSON, ("Request-Deadline", "3000")),
                timeout_s=4.0,
            )
        except errors.TransportError:
            return Answer(0, {})
        return Answer(
            answer.status_code,
            json.loads(answer.body or b"{}"),
            int(answer.header("retry-after", "0")),
        )

    def call_as_operator(
        self, method: str, name: str, body: object = None, **options: object
    ) -> Answer:
        """Makes one HTTP call to an edge process as an operator."""
        path = f"/marigoldsill/{name}"
        return self.call(method, path, body, port=_CONTROL_PORT, **options)

    def replace_configuration(
        self, version: int, **options: object
    ) -> dict[str, object]:
        """Sends a configuration until it is acknowledged, and returns it."""
        body = configuration(version, **options)
        one_process.wait_until(
            lambda: self._is_configuration_acknowledged(body),
            what=f"configuration {version} acknowledged",
        )
        return body

    def submit(self, job_id: str, *steps: dict, **fields: object) -> None:
        """Submits a job until it is accepted."""
        spec = fields.pop("spec", "work 100")
        body = {"spec": spec, "steps": list(steps)} | fields
        one_process.wait_until(
            lambda: self._is_job_accepted(job_id, body),
            what=f"{job_id} accepted",
        )

    def get_job_state(self, job_id: str, **options: object) -> Answer:
        """Requests a job's state."""
        return self.call("GET", f"/fast/{job_id}", **options)

    def wait_for_job_state(self, job_id: str, *states: str) -> str:
        """Waits until a job has one of some states, and returns it."""

        def find_state() -> str | None:
            answers = [
                self.get_job_state(job_id, edge=e) for e in self.running_edges()
            ]
            found = {a.value.get("state") for a in answers if a.status == 200}
            return next((s for s in states if s in found), None)

        return one_process.wait_until(find_state, what=f"{job_id} in {states}")

    def read_logs(self) -> str:
        """Returns the logs of all processes."""
        return "".join(p.text() for p in self.processes.values())

    def read_journal(self) -> list[dict]:
        """Returns the journal of what the workers actually ran."""
        return journal_module.read(self.journal_path)

    def stop(self) -> None:
        """Stops all workers and processes."""
        for worker in self.workers.values():
            worker.stop()
        for process in self.processes.values():
            process.end()

    def _is_configuration_acknowledged(self, body: dict) -> bool:
        return any(
            self.call_as_operator(
                "POST", "Config.Replace", body, edge=edge
            ).status
            == 200
            for edge in self.running_edges()
        )

    def _is_job_accepted(self, job_id: str, body: dict) -> bool:
        return any(
            self.call("POST", f"/fast/{job_id}", body, edge=edge).status == 200
            for edge in self.running_edges()
        )

    def _start_process(
        self,
        name: str,
        role: str,
        ip: str,
        listen: str,
        *,
        data: str = "",
        app: str = "",
    ) -> None:
        self._settings[name] = {
            "name": name,
            "ip": ip,
            "data": data,
            "app": app,
            "listen": listen,
        }
        environment = {"MARIGOLDSILL_CONFIG": str(self._write_settings(name))}
        if role == "edge":
            environment |= self._edge_environment
            environment["MARIGOLDSILL_ADVERTISE_ADDRESS"] = (
                self.advertised_address(name)
            )
        self.processes[name] = one_process.Process(
            [
                "marigoldsill",
                "platform",
                role,
                "--metrics-port",
                str(_METRICS_PORT),
            ],
            log=self.folder / f"{name}.log",
            environment=environment,
        )

    def _write_settings(self, name: str) -> pathlib.Path:
        path = self.folder / f"{name}.toml"
        names = self._seeds_by_process.get(name, self._seeds)
        hosts = [self.advertised_address(s).rpartition(":")[0] for s in names]
        seeds = [f'"{host}:{_CONTROL_PORT}"' for host in hosts]
        # Replaced atomically, for a process that reads it at the same time.
        new_path = path.with_suffix(".new")
        new_path.write_text(
            _SETTINGS.format(
                **self._settings[name],
                zone="z1",
                internal=_INTERNAL_PORT,
                internal_last=_INTERNAL_PORT + 15,
                seeds=", ".join(seeds),
                bootstrap=str(self._first_start).lower(),
                adviser=self.adviser.address if self.adviser else "",
            )
        )
        new_path.rename(path)
        return path


def _number(name: str) -> int:
    """Returns the number at the end of a process's name."""
    return int(name.rpartition("-")[2])


def machine_label(name: str) -> str:
    """Returns the label that only the worker of one machine has."""
    return f"r1-{_number(name)}"


def configuration(
    version: int, *, routes: list[dict] | None = None, **fields: object
) -> dict[str, object]:
    """Returns a configuration with one service and, by default, one route."""
    return {
        "version": version,
        "routes": [route()] if routes is None else routes,
        "services": [
            {
                "name": POOL,
                "health_path": "/health",
                "max_connections": 64,
                "protocol": "h1",
                "tls": False,
                "enforce_limits": False,
                "standby": False,
            }
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
    } | fields


def route(name: str = "fast", **fields: object) -> dict[str, object]:
    """Returns a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "type": "unsafe",
        "timeout_ms": 3000,
        "target_latency_ms": 250,
        "priority": 0,
        "service": POOL,
        "max_attempts": 3,
        "stretch_factor": 1.5,
    } | fields


def step(count: int = 1, **fields: object) -> dict[str, object]:
    """Returns a step of a job."""
    return {"count": count, "cpu": 500, "mem_mb": 64} | fields
