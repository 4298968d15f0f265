"""Selection of the control process that an entry long-polls.

An entry fails over when its control process crashes, hangs or becomes
unreachable; without one it gets neither route maps nor load reports.
"""

import random
import typing as t

from bulrushhold import messages

# How long a failed process is skipped while any other is available.
FAILURE_BACKOFF_S: t.Final = 2.0


class ControlServers:
    """Control processes in order of preference.

    Prefers the process with the fastest link in the local data centre,
    because it sends updates to every entry there, and among equals one that
    isn't a log replica. Then come the other local processes, the leader, and
    all known processes.

    :param seeds: addresses from the settings; may be out of date.
    :ivar core: addresses of the log replicas.
    """

    def __init__(
        self, data_centre: str, seeds: list[str], rng: random.Random
    ) -> None:
        self.data_centre = data_centre
        self.seeds = seeds
        self.rng = rng
        self.core: list[str] = []
        self.nodes: list[messages.ControlNode] = []
        self.leader = ''
        self.failed_at: dict[str, float] = {}

    def update(self, reply: messages.WatchReply) -> None:
        """Update the known control processes from a watch reply."""
        if reply.core:
            self.core = reply.core
        if reply.nodes is not None:
            self.nodes = reply.nodes

    def mark_failed(self, address: str, now: float) -> None:
        """Record that a control process didn't answer."""
        self.failed_at[address] = now

    def mark_leaderless(self, address: str, leader: str, now: float) -> None:
        """Record that a control process has no contact with the leader."""
        self.mark_failed(address, now)
        self.leader = '' if leader == address else leader

    def choose(self, current: str, now: float) -> str:
        """Return the address of the process to poll next.

        :param current: address that answered last, or ``''``.
        """
        for group in self._groups():
            if current in group:
                return current
            available = [a for a in group if not self._in_backoff(a, now)]
            if available:
                return self.rng.choice(sorted(available))
        return self.rng.choice(sorted({*self.seeds, *self.core}))

    def _groups(self) -> list[set[str]]:
        local_nodes = [
            n for n in self.nodes if n.data_centre == self.data_centre
        ]
        addresses = {node.address for node in self.nodes}
        return [
            _fastest_addresses(local_nodes),
            {node.address for node in local_nodes},
            {self.leader} - {''},
            addresses,
            {*self.seeds, *self.core, *addresses},
        ]

    def _in_backoff(self, address: str, now: float) -> bool:
        return (
            now - self.failed_at.get(address, float('-inf'))
            < FAILURE_BACKOFF_S
        )


def _fastest_addresses(nodes: list[messages.ControlNode]) -> set[str]:
    best = max(map(_preference, nodes), default=None)
    return {node.address for node in nodes if _preference(node) == best}


def _preference(node: messages.ControlNode) -> tuple[float, bool]:
    return node.link_mbps, not node.replica
