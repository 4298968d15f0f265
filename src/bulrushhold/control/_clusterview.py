"""A control process's view of the cluster."""

import asyncio
import collections.abc as cabc
import contextlib
import typing as t

import xxhash

from bulrushhold.control import _listhistory
from bulrushhold import decisions
from bulrushhold import messages

MAX_LONG_POLL_S: t.Final = 1.0


class ClusterView:
    """The newest route map, backend servers, entries and control processes.

    The leader updates it; other control processes hold copies with the
    leader's version numbers.

    :param clock: returns seconds, including time spent suspended.
    """

    def __init__(self, clock: cabc.Callable[[], float]) -> None:
        self.clock = clock
        self.voter_addresses: list[str] = []
        self.route_map: bytes | None = None
        self.map_version = 0
        self.backends: list[messages.ListedBackend] | None = None
        self.backends_version = ''
        self.backends_digest = b''
        self.backends_history = _listhistory.ListHistory(
            decisions.BackendList.of([])
        )
        self.backends_read_at = 0.0
        self.entries: list[messages.ListedEntry] = []
        self.entries_version = ''
        self.entries_digest = b''
        self.entries_history = _listhistory.ListHistory(
            decisions.EntryList.of([])
        )
        self.nodes: list[messages.ControlNode] = []
        self.nodes_version = ''
        self.rollouts: list[messages.RolloutPlan] = []
        self.rollouts_version = ''
        self.service_versions: dict[str, list[str]] = {}
        self.service_versions_version = ''
        self.service_versions_at = 0.0
        self.changed = asyncio.Event()

    def notify(self) -> None:
        """Wake the long polls that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait(
        self, ready: cabc.Callable[[], bool], hold_s: float
    ) -> None:
        """Wait until ``ready()`` is true, for at most ``hold_s``."""
        deadline = self.clock() + min(hold_s, MAX_LONG_POLL_S)
        while not ready():
            remaining_s = deadline - self.clock()
            if remaining_s <= 0:
                return
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await changed.wait()

    def is_newer_than(self, versions: messages.Known) -> bool:
        """Whether any part is newer than ``versions``."""
        return (
            self.map_version > versions.route_map
            or self._has_other_backends(versions)
            or self.entries_version not in ('', versions.entries)
            or self.nodes_version not in ('', versions.nodes)
            or self.rollouts_version not in ('', versions.rollouts)
            or self.service_versions_version not in ('', versions.versions)
        )

    def _has_other_backends(self, versions: messages.Known) -> bool:
        """Whether the list of backend servers differs from a known one.

        A new log may give the same version to another list.
        """
        if versions.backends != self.backends_version:
            return bool(self.backends_version)
        digests = b'', self.backends_history.current.digest
        return versions.backends_digest not in digests

    def reply(self, versions: messages.Known) -> messages.WatchReply:
        """Return the parts that are newer than ``versions``."""
        newer_map = self.map_version > versions.route_map
        other_backends = self._has_other_backends(versions)
        newer_entries = self.entries_version not in ('', versions.entries)
        newer_nodes = self.nodes_version not in ('', versions.nodes)
        newer_rollouts = self.rollouts_version not in ('', versions.rollouts)
        newer_versions = self.service_versions_version not in (
            '',
            versions.versions,
        )
        return messages.WatchReply(
            'done',
            core=self.voter_addresses,
            route_map=self.route_map if newer_map else None,
            map_version=self.map_version,
            backends_version=self.backends_version,
            backends=(
                self.backends_history.update_from(versions.backends_digest)
                if other_backends
                else None
            ),
            backends_age_s=round(self.clock() - self.backends_read_at, 3),
            entries_version=self.entries_version,
            entries=(
                self.entries_history.update_from(versions.entries_digest)
                if newer_entries
                else None
            ),
            nodes_version=self.nodes_version,
            nodes=self.nodes if newer_nodes else None,
            rollouts_version=self.rollouts_version,
            rollouts=self.rollouts if newer_rollouts else None,
            versions_version=self.service_versions_version,
            versions=self.service_versions if newer_versions else None,
            versions_age_s=round(self.clock() - self.service_versions_at, 3),
        )

    def versions(self) -> messages.Known:
        """Return the version of each part."""
        return messages.Known(
            self.map_version,
            self.backends_version,
            self.entries_version,
            self.nodes_version,
            self.rollouts_version,
            self.service_versions_version,
            self.backends_digest,
            self.entries_digest,
        )

    def update(self, reply: messages.WatchReply, requested_at: float) -> None:
        """Apply a reply of the leader; wake long polls on a change.

        :param requested_at: when it was requested. This process may have been
            paused since it was sent.
        """
        versions = self.versions()
        sent_at = requested_at + reply.held_s
        if reply.core:
            self.voter_addresses = reply.core
        # Ignore older versions: a deposed leader may answer late.
        if reply.route_map is not None:
            if reply.map_version > self.map_version:
                self.route_map = reply.route_map
                self.map_version = reply.map_version
        version = reply.backends_version
        if reply.backends is not None and not messages.is_newer(
            self.backends_version, version
        ):
            self._update_backends(reply.backends, version)
        if version and version == self.backends_version:
            self.backends_read_at = sent_at - reply.backends_age_s
        if messages.is_newer(reply.entries_version, self.entries_version):
            assert reply.entries is not None
            self._update_entries(reply.entries, reply.entries_version)
        if messages.is_newer(reply.rollouts_version, self.rollouts_version):
            self.rollouts = reply.rollouts or []
            self.rollouts_version = reply.rollouts_version
        version = reply.versions_version
        if messages.is_newer(version, self.service_versions_version):
            self.service_versions = reply.versions or {}
            self.service_versions_version = version
        if version == self.service_versions_version:
            self.service_versions_at = sent_at - reply.versions_age_s
        if reply.nodes is not None:
            self.nodes = reply.nodes
            self.nodes_version = reply.nodes_version
        if self.versions() != versions:
            self.notify()

    def set_entries(self, listed: decisions.EntryList, version: str) -> None:
        """Replace the list of entries."""
        self.entries_history.add(listed)
        self.entries = self.entries_history.current.items
        self.entries_digest = listed.digest
        self.entries_version = version

    def _update_entries(
        self, update: messages.ListUpdate, version: str
    ) -> None:
        listed = self.entries_history.current.updated(update)
        if listed is not None:
            self.set_entries(listed, version)
            return
        # Have the leader send the full list.
        self.entries_digest = b''

    def set_backends(
        self, listed: decisions.BackendList, version: str
    ) -> None:
        """Replace the list of backend servers."""
        self.backends_history.add(listed)
        self.backends = self.backends_history.current.items
        self.backends_digest = listed.digest
        self.backends_version = version

    def _update_backends(
        self, update: messages.ListUpdate, version: str
    ) -> None:
        listed = self.backends_history.current.updated(update)
        if listed is not None:
            self.set_backends(listed, version)
            return
        # Have the leader send the full list.
        self.backends_digest = b''

    def update_rollouts(
        self, plans: list[messages.RolloutPlan], term: int
    ) -> None:
        """Replace the plans of all rollouts, in the leader's term."""
        version = _next_version(self.rollouts_version, term)
        if plans == self.rollouts and version != f'{term}.1':
            return
        self.rollouts = plans
        self.rollouts_version = version
        self.notify()

    def update_versions(
        self, versions: dict[str, list[str]], term: int
    ) -> None:
        """Replace the versions of all services, in the leader's term."""
        self.service_versions_at = self.clock()
        version = _next_version(self.service_versions_version, term)
        if versions == self.service_versions and version != f'{term}.1':
            return
        self.service_versions = versions
        self.service_versions_version = version
        self.notify()

    def update_nodes(self, nodes: list[messages.ControlNode]) -> None:
        """Replace the list of control processes."""
        if nodes != self.nodes:
            self.nodes = nodes
            text = '/'.join(sorted(map(str, nodes))).encode()
            self.nodes_version = xxhash.xxh64_hexdigest(text)
            self.notify()


def _next_version(version: str, term: int) -> str:
    """Return the version that follows, which starts at 1 in each term."""
    known_term, _, revision = version.partition('.')
    return f'{term}.{int(revision) + 1 if known_term == str(term) else 1}'
