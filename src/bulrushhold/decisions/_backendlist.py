"""Lists of backend servers, and their differences."""

import typing as t

import attrs

from bulrushhold import messages


@attrs.frozen
class BackendList:
    """A list of backend servers in the platform's order.

    :param digest: digest of the servers, or ``b''`` to have the next update
        hold the full list.
    """

    items: list[messages.ListedBackend]
    digest: bytes

    @classmethod
    def of(cls, items: list[messages.ListedBackend]) -> t.Self:
        """Return a list with its digest."""
        return cls(items, messages.backends_digest(items))

    def updated(self, update: messages.BackendsUpdate) -> t.Self | None:
        """Return the list after an update.

        Returns ``None`` if the update is a difference to another list, or
        doesn't give the list that its sender has.

        :raises PeerError: if the update is malformed.
        """
        if not update.base:
            return self.of(messages.unpack_backends(update.packed))
        if update.base != self.digest:
            return None
        splices = messages.unpack_splices(update.packed)
        result = self.of(apply_splices(self.items, splices))
        return result if result.digest == update.digest else None

    def without_digest(self) -> t.Self:
        """Return the list such that the next update is a full list."""
        return attrs.evolve(self, digest=b'')


def list_splices(
    old: list[messages.ListedBackend], new: list[messages.ListedBackend]
) -> list[messages.ListSplice]:
    """Return the splices that change one list into another.

    They are few if few servers differ and the others keep their order; they
    are correct for any two lists. Takes time linear in the lists' lengths.
    """
    positions = {server.ident: n for n, server in enumerate(old)}
    splices = []
    inserted: list[messages.ListedBackend] = []
    next_position = 0
    for server in new:
        position = positions.get(server.ident, -1)
        if position < next_position or old[position] != server:
            inserted.append(server)
            continue
        if inserted or position > next_position:
            splices.append(
                messages.ListSplice(next_position, position, inserted)
            )
            inserted = []
        next_position = position + 1
    if inserted or next_position < len(old):
        splices.append(messages.ListSplice(next_position, len(old), inserted))
    return splices


def apply_splices(
    items: list[messages.ListedBackend], splices: list[messages.ListSplice]
) -> list[messages.ListedBackend]:
    """Return a list after splices, as :func:`list_splices` gives them."""
    result: list[messages.ListedBackend] = []
    position = 0
    for splice in splices:
        result += items[position : splice.start]
        result += splice.items
        position = splice.end
    return result + items[position:]
