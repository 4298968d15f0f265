"""The latest versions of a list, to send only what has changed."""

import typing as t

import attrs

from bulrushhold import decisions
from bulrushhold import messages

# The platform's list is read every 0.4 s. The lists cover more than the
# failover of an entry to another process, which takes up to 2 s.
# The list of entries may change more often while many entries start.
MAX_LISTS: t.Final = 16

_Item = t.TypeVar('_Item', bound=messages.ListItem)


class ListHistory(t.Generic[_Item]):
    """The current list and its predecessors.

    Lists are identified by digests: processes that have never been in contact
    agree on them, and a restart doesn't change them.

    :param first: the list before the first one that is added.
    :ivar recent: the latest lists by digest, oldest first. Lists share the
        items that don't differ.
    :ivar updates: encoded updates to the current list, by digest of the list
        to which they apply; ``b''`` for the full list.
    """

    def __init__(self, first: decisions.ListCopy[_Item]) -> None:
        self.current = first
        self.recent: dict[bytes, list[_Item]] = {}
        self.updates: dict[bytes, messages.ListUpdate] = {}

    def add(self, listed: decisions.ListCopy[_Item]) -> None:
        """Make a list the current one."""
        items = _share_items(self.current.items, listed.items)
        self.current = attrs.evolve(listed, items=items)
        self.recent.pop(listed.digest, None)
        self.recent[listed.digest] = items
        if len(self.recent) > MAX_LISTS:
            del self.recent[next(iter(self.recent))]
        self.updates.clear()

    def update_from(self, base: bytes) -> messages.ListUpdate:
        """Return what changes a list into the current one.

        It is the full list if the other list isn't known or the difference
        isn't smaller.

        :param base: digest of the other list, or ``b''`` for none.
        """
        if base not in self.recent:
            base = b''
        if base not in self.updates:
            self.updates[base] = (
                self._difference(base) if base else self._full_list()
            )
        return self.updates[base]

    def _full_list(self) -> messages.ListUpdate:
        current = self.current
        return messages.ListUpdate(
            current.digest, current.codec.pack(current.items)
        )

    def _difference(self, base: bytes) -> messages.ListUpdate:
        current = self.current
        splices = decisions.list_splices(self.recent[base], current.items)
        packed = current.codec.pack_splices(splices)
        full = self.update_from(b'')
        if len(packed) >= len(full.packed):
            return full
        return messages.ListUpdate(current.digest, packed, base)


def _share_items(old: list[_Item], new: list[_Item]) -> list[_Item]:
    """Return the new list with equal items of the old one in their place."""
    former = {item.ident: item for item in old}
    shared = []
    for item in new:
        known = former.get(item.ident, item)
        shared.append(known if known == item else item)
    return shared
