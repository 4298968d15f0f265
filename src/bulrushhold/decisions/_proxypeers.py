"""Choose the entries that proxy requests to backend servers."""

import typing as t

from bulrushhold.decisions import _rendezvous
from bulrushhold import messages

# Covers the time until the list of entries tells of a failure.
AVOID_S: t.Final = 1.0


class ProxyPeers:
    """Other entries in the order in which to ask them.

    The order depends on the server, so that probes of a server take the same
    way as its requests, and the load spreads over the peers.
    """

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.avoided_until: dict[str, float] = {}

    def avoid(self, proxy: str, now: float) -> None:
        """Ask an entry last, after it failed to proxy a request."""
        self.avoided_until[proxy] = now + AVOID_S

    def order(
        self,
        entries: list[messages.ListedEntry],
        service: str,
        server: str,
        now: float,
    ) -> list[str]:
        """Return the proxy addresses of entries that reach a service.

        Those that accept no new callers come last.

        :param server: address of the server to reach.
        """
        usable = usable_proxies(entries, service, self.own_name)
        ranking = _rendezvous.rendezvous_order(
            f'{self.own_name}\0{server}', usable, lambda entry: entry.name
        )
        # A draining entry still proxies what no other can.
        ranking.sort(key=lambda entry: not entry.ready)
        proxies = [entry.proxy for entry in ranking]
        return sorted(
            proxies, key=lambda proxy: self.avoided_until.get(proxy, 0.0) > now
        )


def usable_proxies(
    entries: list[messages.ListedEntry], service: str, own_name: str
) -> list[messages.ListedEntry]:
    """Return the other entries that reach a service, also draining ones."""
    return [
        entry
        for entry in entries
        if entry.proxy
        and service not in entry.unreachable
        and entry.name != own_name
    ]
