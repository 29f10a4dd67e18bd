"""The proxies before the addresses of a system."""

from soak import connection_owners
from soak import proxy
from tests.platform import system as system_module


class ProxyRegistry:
    """The proxies before the addresses of a system.

    Attributes:
        system: The system.
    """

    def __init__(self):
        self.system: system_module.System | None = None
        self._connection_owners = connection_owners.ConnectionOwners(self._pids)
        self._by_target: dict[str, proxy.Proxy] = {}

    def proxy_address(self, target: str) -> str:
        """Returns the address of the proxy before an address."""
        if target not in self._by_target:
            self._by_target[target] = proxy.Proxy(target)
        return self._by_target[target].address

    def advertise(self, target: str) -> str:
        """Like `proxy_address`, but the proxy has the same port on another loopback host."""
        host, _, port = target.rpartition(":")
        first, second, third, last = host.split(".")
        address = f"{first}.{second}.{int(third) + 1}.{last}:{port}"
        if target not in self._by_target:
            self._by_target[target] = proxy.Proxy(
                target,
                address=address,
                identify_caller=self._connection_owners.find_owner,
            )
        return address

    def named_proxies(self) -> dict[str, proxy.Proxy]:
        """Returns the proxies of workers and of edges' frontends by machine."""
        system = self.system
        targets = {name: w.address for name, w in system.workers.items()}
        targets |= {
            name: system.frontend_address(name)
            for name in system.running_edges()
        }
        for target in targets.values():
            self.proxy_address(target)
        return {name: self._by_target[t] for name, t in targets.items()}

    def control_proxies(self) -> dict[str, proxy.Proxy]:
        """Returns the proxies between processes by the called edge."""
        by_address = {each.address: each for each in self._by_target.values()}
        names = self.system.running_edges()
        return {
            name: by_address[self.system.advertised_address(name)]
            for name in names
        }

    def proxies_by_machine(self) -> dict[str, list[proxy.Proxy]]:
        """Returns all proxies before addresses of each machine."""
        system = self.system
        addresses = {
            name: (worker.address, system.control_address(name))
            for name, worker in system.workers.items()
        } | {
            name: (system.frontend_address(name),)
            for name in system.running_edges()
        }
        control_proxies = self.control_proxies()
        return {
            name: [
                *(self._by_target[a] for a in targets if a in self._by_target),
                *(control_proxies[n] for n in (name,) if n in control_proxies),
            ]
            for name, targets in addresses.items()
        }

    def _pids(self) -> dict[str, int]:
        return {n: p.pid for n, p in list(self.system.processes.items())}

    def stop(self) -> None:
        """Stops all proxies."""
        for each in self._by_target.values():
            each.stop()
