"""The latest lists of backend servers, to send only what has changed."""

import typing as t

from bulrushhold import decisions
from bulrushhold import messages

# The platform's list is read every 0.4 s. The lists cover more than the
# failover of an entry to another process, which takes up to 2 s.
MAX_LISTS: t.Final = 16


class ListHistory:
    """The current list of backend servers and its predecessors.

    Lists are identified by digests: processes that have never been in contact
    agree on them, and a restart doesn't change them.

    :ivar recent: the latest lists by digest, oldest first. Lists share the
        servers that don't differ.
    :ivar updates: encoded updates to the current list, by digest of the list
        to which they apply; ``b''`` for the full list.
    """

    def __init__(self) -> None:
        self.current = decisions.BackendList.of([])
        self.recent: dict[bytes, list[messages.ListedBackend]] = {}
        self.updates: dict[bytes, messages.BackendsUpdate] = {}

    def add(self, listed: decisions.BackendList) -> None:
        """Make a list the current one."""
        items = _share_items(self.current.items, listed.items)
        self.current = decisions.BackendList(items, listed.digest)
        self.recent.pop(listed.digest, None)
        self.recent[listed.digest] = items
        if len(self.recent) > MAX_LISTS:
            del self.recent[next(iter(self.recent))]
        self.updates.clear()

    def update_from(self, base: bytes) -> messages.BackendsUpdate:
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

    def _full_list(self) -> messages.BackendsUpdate:
        return messages.BackendsUpdate(
            self.current.digest, messages.pack_backends(self.current.items)
        )

    def _difference(self, base: bytes) -> messages.BackendsUpdate:
        splices = decisions.list_splices(self.recent[base], self.current.items)
        packed = messages.pack_splices(splices)
        full = self.update_from(b'')
        if len(packed) >= len(full.packed):
            return full
        return messages.BackendsUpdate(self.current.digest, packed, base)


def _share_items(
    old: list[messages.ListedBackend], new: list[messages.ListedBackend]
) -> list[messages.ListedBackend]:
    """Return the new list with equal items of the old one in their place."""
    former = {server.ident: server for server in old}
    shared = []
    for server in new:
        known = former.get(server.ident, server)
        shared.append(known if known == server else server)
    return shared
