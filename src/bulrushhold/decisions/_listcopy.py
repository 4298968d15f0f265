"""Copies of lists that control sends, and differences between lists."""

import typing as t

import attrs

from bulrushhold import messages

_Item = t.TypeVar('_Item', bound=messages.ListItem)


@attrs.frozen
class ListCopy(t.Generic[_Item]):
    """A list in its sender's order.

    :param digest: digest of the items, or ``b''`` to have the next update
        hold the full list.
    """

    codec: t.ClassVar[messages.ListCodec[t.Any]]

    items: list[_Item]
    digest: bytes

    @classmethod
    def of(cls, items: list[_Item]) -> t.Self:
        """Return a list with its digest."""
        return cls(items, cls.codec.digest(items))

    def updated(self, update: messages.ListUpdate) -> t.Self | None:
        """Return the list after an update.

        Returns ``None`` if the update is a difference to another list, or
        doesn't give the list that its sender has.

        :raises PeerError: if the update is malformed.
        """
        if not update.base:
            return self.of(self.codec.unpack(update.packed))
        if update.base != self.digest:
            return None
        splices = self.codec.unpack_splices(update.packed)
        result = self.of(apply_splices(self.items, splices))
        return result if result.digest == update.digest else None

    def without_digest(self) -> t.Self:
        """Return the list such that the next update is a full list."""
        return attrs.evolve(self, digest=b'')


@attrs.frozen
class BackendList(ListCopy[messages.ListedBackend]):
    """A list of backend servers in the platform's order."""

    codec: t.ClassVar = messages.BACKEND_LIST


@attrs.frozen
class EntryList(ListCopy[messages.ListedEntry]):
    """A list of entries, sorted by name."""

    codec: t.ClassVar = messages.ENTRY_LIST


def list_splices(
    old: list[_Item], new: list[_Item]
) -> list[messages.ListSplice[_Item]]:
    """Return the splices that change one list into another.

    They are few if few items differ and the others keep their order; they
    are correct for any two lists. Takes time linear in the lists' lengths.
    """
    positions = {item.ident: n for n, item in enumerate(old)}
    splices = []
    inserted: list[_Item] = []
    next_position = 0
    for item in new:
        position = positions.get(item.ident, -1)
        if position < next_position or old[position] != item:
            inserted.append(item)
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
    items: list[_Item], splices: list[messages.ListSplice[_Item]]
) -> list[_Item]:
    """Return a list after splices, as :func:`list_splices` gives them."""
    result: list[_Item] = []
    position = 0
    for splice in splices:
        result += items[position : splice.start]
        result += splice.items
        position = splice.end
    return result + items[position:]
