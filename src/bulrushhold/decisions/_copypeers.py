"""Choice of the peers that store copies of an entry's transcripts."""

import collections.abc as cabc
import enum


class CopyPeerStatus(enum.StrEnum):
    """Whether a peer acknowledges tokens in time.

    ``NEW`` peers have acknowledged nothing yet.
    """

    NEW = 'new'
    SYNCED = 'synced'
    LATE = 'late'


class CopyPeers:
    """Peers that tokens are replicated to, ``count`` of them in time.

    A late peer stays a member, since it may only be slow, and another
    candidate takes its place until it acknowledges again. Tokens wait for
    synced peers only, or for new ones while there is no synced peer.

    :param count: the number of copies.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.candidates: list[str] = []
        self.members: dict[str, CopyPeerStatus] = {}

    def update_candidates(self, addresses: cabc.Iterable[str]) -> None:
        """Replace the candidates, given in order of preference."""
        self.candidates = list(addresses)
        for address in self.members.keys() - set(self.candidates):
            del self.members[address]
        self._add_substitutes()

    def on_acknowledged(self, address: str) -> None:
        """Record that a peer has answered, in time or late."""
        if address not in self.members:
            return
        self.members[address] = CopyPeerStatus.SYNCED
        self._remove_surplus()

    def on_late(self, address: str) -> None:
        """Record that a peer hasn't acknowledged in time."""
        if address not in self.members:
            return
        self.members[address] = CopyPeerStatus.LATE
        self._add_substitutes()

    @property
    def awaited(self) -> list[str]:
        """Peers that must store a token before callers may see it.

        Empty if all peers are late, or there are none.
        """
        synced = self._with_status(CopyPeerStatus.SYNCED)
        return synced or self._with_status(CopyPeerStatus.NEW)

    def _with_status(self, status: CopyPeerStatus) -> list[str]:
        return [a for a, current in self.members.items() if current is status]

    def _add_substitutes(self) -> None:
        late = len(self._with_status(CopyPeerStatus.LATE))
        for address in self.candidates:
            if len(self.members) - late >= self.count:
                return
            if address not in self.members:
                self.members[address] = CopyPeerStatus.NEW

    def _remove_surplus(self) -> None:
        """Remove the least preferred peers beyond ``count`` synced ones."""
        surplus = len(self._with_status(CopyPeerStatus.SYNCED)) - self.count
        for address in reversed(self.candidates):
            if surplus < 0:
                return
            status = self.members.get(address)
            if status is CopyPeerStatus.NEW:
                del self.members[address]
            elif status is CopyPeerStatus.SYNCED and surplus > 0:
                del self.members[address]
                surplus -= 1
