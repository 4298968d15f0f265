"""Which control process an entry holds its long poll at.

Answers the loss, a freeze or a cut of any of them: an entry without one has
neither a new route map nor any view of the load of engines.
"""

import random
import typing as t

from bulrushhold import messages

# For how long one that gave no answer is asked only if all gave none.
FAILURE_BACKOFF_S: t.Final = 2.0


class ControlServers:
    """Control processes in order of preference.

    First the one of the own data centre with the fastest link, since its
    news goes to all entries there; of equal ones, one that doesn't keep the
    log. Then the others there, then the leader, then all.

    :param seeds: addresses from the settings; may be out of date.
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

    def learn(self, reply: messages.WatchReply) -> None:
        """Learn which control processes there are."""
        if reply.core:
            self.core = reply.core
        if reply.nodes is not None:
            self.nodes = reply.nodes

    def failed(self, address: str, now: float) -> None:
        """Learn that a control process gave no answer."""
        self.failed_at[address] = now

    def not_in_touch(self, address: str, leader: str, now: float) -> None:
        """Learn that a control process is out of touch with the leader."""
        self.failed(address, now)
        self.leader = '' if leader == address else leader

    def choose(self, current: str, now: float) -> str:
        """Return the process to ask next.

        :param current: the one that answered last, or ``''``.
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
