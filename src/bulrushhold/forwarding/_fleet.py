"""The entry's view of the cluster: route map, backends and entries."""

import asyncio
import collections.abc as cabc
import contextlib
import random
import time
import typing as t

import attrs
import loguru

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports
from bulrushhold import routes

LONG_POLL_S: t.Final = 0.3
# Added to the long poll for a slow link and a busy leader.
REPLY_MARGIN_S: t.Final = 0.5
RETRY_PAUSE_S: t.Final = 0.05
URGENT_REPORT_TIMEOUT_S: t.Final = 0.3
# Batches the engines of a lost data centre, which are lost within a few
# milliseconds, into one report.
REPORT_INTERVAL_S: t.Final = 0.01
# Unchanged load is reported again: a new leader has no reports yet, and
# traffic counts expire.
REPORT_REFRESH_S: t.Final = 1.0
# An older backend list is read from the platform directly, so that servers
# that are shutting down get no new requests: the bound is 3 s.
LIST_MAX_AGE_S: t.Final = 1.2
LIST_TIMEOUT_S: t.Final = 1.0
# Covers a leader election after a cold start of the whole system.
FIRST_LIST_DELAY_S: t.Final = 0.9
# Clocks differ by less where the machine was not suspended.
MIN_SUSPENSION_S: t.Final = 0.1
# Limit for all entries together while they read the list directly.
LIST_CALLS_PER_S: t.Final = 12.0


class FleetView:
    """Watches control processes and caches their latest replies.

    :param own_entry: this entry, as control lists it.
    :param seeds: peer addresses of control processes; may be out of date.
    :param backend_list: the platform's list, read while control is
        unreachable.
    """

    def __init__(
        self,
        own_entry: messages.ListedEntry,
        seeds: list[str],
        transport: ports.Transport,
        backend_list: ports.BackendList,
        placement: decisions.Placement,
        budget: decisions.ServiceRetryBudget,
        poison_requests: decisions.PoisonRequestDetector,
        admission: decisions.AdmissionController,
    ) -> None:
        self.own_entry = own_entry
        self.transport = transport
        self.backend_list = backend_list
        self.placement = placement
        self.budget = budget
        self.poison_requests = poison_requests
        self.admission = admission
        self.servers = decisions.ControlServers(
            own_entry.data_centre, seeds, random.Random()
        )
        self.control_address = ''
        self.index: routes.RouteIndex | None = None
        self.listed = decisions.BackendList([], b'')
        self.backends_version = ''
        self.backends_read_at = 0.0
        self.listed_entries = decisions.EntryList([], b'')
        self.entries_version = ''
        self.nodes_version = ''
        self.rollouts_version = ''
        self.versions_version = ''
        self.summary_number = 0
        self.became_ready = asyncio.Event()
        self.load_changed = asyncio.Event()
        placement.on_load_change = self.load_changed.set
        placement.versions.on_evidence = self.load_changed.set
        placement.demands.limits.on_change = self.load_changed.set
        poison_requests.on_pending = self.load_changed.set
        self.on_change: list[cabc.Callable[[], None]] = []
        self.is_healthy: cabc.Callable[[], bool] = lambda: True
        self.suspended_s = _suspended_s()

    @property
    def map_version(self) -> int:
        """Version of the active route map; 0 before the first one."""
        return self.index.map.version if self.index else 0

    @property
    def ready(self) -> bool:
        """Whether this entry has a route map and backend servers."""
        return self.index is not None and bool(self.placement.backends)

    @property
    def entries(self) -> list[messages.ListedEntry]:
        """All entries, as control last listed them."""
        return self.listed_entries.items

    def _own_entry_now(self) -> messages.ListedEntry:
        unreachable = tuple(sorted(self.placement.reachability.cut_off))
        return attrs.evolve(self.own_entry, unreachable=unreachable)

    def _is_cut_off(self, entry: messages.ListedEntry) -> bool:
        """Whether an entry reaches none of the listed backend servers."""
        # Services that no route names may have servers of other systems only.
        routed = self._services_of(lambda route: True)
        services = routed & self.placement.services.keys()
        return bool(services) and services <= set(entry.unreachable)

    def _services_of(
        self, is_meant: cabc.Callable[[routes.Route], bool]
    ) -> set[str]:
        """Return the services of some routes; none before the first map."""
        if self.index is None:
            return set()
        return routes.target_services(filter(is_meant, self.index.map.routes))

    def start_draining(self) -> None:
        """Advertise this entry as not ready for new callers."""
        self.own_entry = attrs.evolve(self.own_entry, ready=False)

    def ready_peer_share(self) -> float:
        """Return the share of the other entries that accept requests."""
        peers = [e for e in self.entries if e.name != self.own_entry.name]
        if not self.entries:
            return 1.0
        return sum(e.ready for e in peers) / max(1, len(peers))

    def set_load_factor(self, factor: float) -> None:
        """Advertise the share of its usual callers that this entry wants."""
        self.own_entry = attrs.evolve(self.own_entry, load_factor=factor)

    def resumable_services(self) -> set[str]:
        """Return the services whose streams may go on at other engines."""
        return self._services_of(
            lambda route: (
                route.kind is routes.Kind.STREAM and route.repeatable
            )
        )

    def single_run_services(self) -> set[str]:
        """Return the services of requests that may run only once."""
        return self._services_of(lambda route: not route.repeatable)

    def entry_count(self) -> int:
        """Return the number of entries, including this one."""
        return max(1, len(self.entries))

    @property
    def seeds(self) -> list[str]:
        """Addresses of control processes from the settings."""
        return self.servers.seeds

    @seeds.setter
    def seeds(self, seeds: list[str]) -> None:
        self.servers.seeds = seeds

    async def follow(self) -> None:
        """Long-poll a control process forever, failing over on errors."""
        while True:
            address = self.servers.choose(
                self.control_address, time.monotonic()
            )
            try:
                is_current = await self._poll(address)
            except errors.PeerError as error:
                is_current = False
                if self.control_address == address:
                    loguru.logger.bind(peer=address, error=str(error)).warning(
                        'control lost'
                    )
                self.servers.mark_failed(address, time.monotonic())
            if not is_current:
                self.control_address = ''
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _poll(self, address: str) -> bool:
        """Long-poll a control process; return whether its state is current.

        A process without contact to the leader still replies with loads.
        """
        if address != self.control_address:
            # Summary numbers are local to each control process.
            self.summary_number = 0
        requested_at = time.monotonic()
        reply = await self.transport.request(
            address, self._poll_request(), LONG_POLL_S + REPLY_MARGIN_S
        )
        self.servers.update(reply)
        self._apply_loads(reply.loads, address)
        if reply.status != 'done':
            self.servers.mark_leaderless(
                address, reply.leader, time.monotonic()
            )
            return False
        if self.control_address != address:
            self.control_address = address
            node.log_decision('control found', peer=address)
            # It may have restarted.
            self.poison_requests.report_all_blocks()
            self.load_changed.set()
        self._apply_reply(reply, requested_at)
        return True

    def _poll_request(self) -> messages.Watch:
        ready = self.ready and self.own_entry.ready
        return messages.Watch(
            attrs.evolve(self._own_entry_now(), ready=ready),
            messages.Known(
                self.map_version,
                self.backends_version,
                self.entries_version,
                self.nodes_version,
                self.rollouts_version,
                self.versions_version,
                self.listed.digest,
                self.listed_entries.digest,
            ),
            LONG_POLL_S,
            self.summary_number,
        )

    def _apply_reply(
        self, reply: messages.WatchReply, requested_at: float | None = None
    ) -> None:
        """Apply a reply of control.

        :param requested_at: when it was requested, now if not given. A reply
            that has waited while this process was paused must not count as
            new.
        """
        now = time.monotonic()
        sent_at = now if requested_at is None else requested_at + reply.held_s
        self._apply_rollouts(reply)
        if messages.is_newer(reply.versions_version, self.versions_version):
            self.versions_version = reply.versions_version
            self.placement.known_versions.recorded = reply.versions or {}
        if reply.route_map is not None:
            self._apply_map(messages.unpack_map(reply.route_map))
        self._apply_list(reply, sent_at)
        self.placement.known_versions.on_control_reply(
            sent_at - reply.versions_age_s
        )
        self._apply_entries(reply)
        if reply.nodes is not None:
            self.nodes_version = reply.nodes_version
        self.budget.update_entries(self.entry_count(), time.monotonic())
        for hook in self.on_change:
            hook()

    def _apply_entries(self, reply: messages.WatchReply) -> None:
        version = reply.entries_version
        if reply.entries is not None and messages.is_newer(
            version, self.entries_version
        ):
            listed = self.listed_entries.updated(reply.entries)
            if listed is not None:
                self.listed_entries = listed
                self.entries_version = version
                self.placement.reported_losses.entries = _probers(self.entries)
                return
            # The next poll requests the full list.
            self.listed_entries = self.listed_entries.without_digest()
            loguru.logger.bind(version=version).info(
                'entry list update not applicable'
            )

    def _apply_rollouts(self, reply: messages.WatchReply) -> None:
        versions = self.placement.versions
        versions.confirm(time.monotonic())
        if messages.is_newer(reply.rollouts_version, self.rollouts_version):
            self.rollouts_version = reply.rollouts_version
            versions.apply_plans(reply.rollouts or [])
            node.log_decision(
                'rollouts updated',
                version=reply.rollouts_version,
                plans=[
                    f'{plan.service} {plan.target} {plan.state} {plan.share}'
                    for plan in reply.rollouts or []
                ],
            )

    def _apply_list(self, reply: messages.WatchReply, sent_at: float) -> None:
        """Apply the backend list unless it is older than the current one.

        A control process without contact to the leader could otherwise bring
        back removed engines.
        """
        version = reply.backends_version
        read_at = sent_at - reply.backends_age_s
        if reply.backends is not None and (
            not messages.is_newer(self.backends_version, version)
            if self.backends_version
            else read_at > self.backends_read_at
        ):
            self._apply_update(reply.backends, version)
        if version and version == self.backends_version:
            self.backends_read_at = max(self.backends_read_at, read_at)
            self.placement.known_versions.listed_at = self.backends_read_at

    def _apply_update(self, update: messages.ListUpdate, version: str) -> None:
        listed = self.listed.updated(update)
        if listed is not None:
            self.backends_version = version
            self._apply_backends(listed)
            return
        # The next poll requests the full list.
        self.listed = self.listed.without_digest()
        loguru.logger.bind(version=version).info(
            'backend list update not applicable'
        )

    def _apply_loads(
        self, summary: messages.LoadSummary | None, address: str
    ) -> None:
        now = time.monotonic()
        if summary is None:
            if address == self.control_address:
                # No summary means no change since the previous one.
                self.placement.confirm_loads(now)
            return
        self.summary_number = summary.number
        self.placement.apply_loads(summary, now)
        for change in self.placement.demands.limits.apply(summary.limits, now):
            node.log_decision(
                'server limit reported',
                backend=change.server,
                per_s=change.per_s,
                age_s=change.age_s,
            )
        self.budget.apply_loads(summary.traffic, now)
        self.poison_requests.add_reports(summary.crashes, now)
        self.poison_requests.add_blocks(summary.blocks, now)
        waiting = {
            name: traffic.waiting for name, traffic in summary.traffic.items()
        }
        self.admission.apply_loads(waiting, now)

    async def report_load(self) -> None:
        """Report this entry's load forever, whenever it changes."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REPORT_REFRESH_S):
                    await self.load_changed.wait()
            self.load_changed.clear()
            if self.control_address:
                await self._report(self._load_report(time.monotonic()))
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _report(self, report: messages.LoadReport) -> None:
        if not report.urgent:
            self.transport.send(self.control_address, report)
            return
        try:
            await self.transport.request(
                self.control_address, report, URGENT_REPORT_TIMEOUT_S
            )
        except errors.PeerError as error:
            loguru.logger.bind(
                peer=self.control_address, error=str(error)
            ).warning('load report not acknowledged')
            self.placement.requeue_events(report)
            self.poison_requests.requeue_events(report)
            self.load_changed.set()

    def _load_report(self, now: float) -> messages.LoadReport:
        traffic = {
            service: attrs.evolve(
                service_traffic, waiting=self.admission.waiting[service]
            )
            for service, service_traffic in self.budget.traffic(now).items()
        }
        return attrs.evolve(
            self.placement.load_report(self.own_entry.name, traffic, now),
            crashes=self.poison_requests.take_pending(),
            blocks=self.poison_requests.take_pending_blocks(now),
        )

    def _apply_map(self, route_map: routes.RouteMap) -> None:
        # A delayed reply must not restore a replaced map.
        if route_map.version > self.map_version:
            self.index = routes.RouteIndex(route_map)
            self.placement.known_versions.map_version = route_map.version
            self.placement.capacity = {
                service.name: service.memory_tokens
                for service in route_map.services
            }
            self._signal_if_ready()
            node.log_decision('route map updated', version=route_map.version)

    def _apply_backends(self, listed: decisions.BackendList) -> None:
        self.listed = listed
        self.placement.update(listed.items)
        self._signal_if_ready()
        node.log_decision(
            'backend list updated',
            version=self.backends_version,
            usable=sum(not b.leaving for b in listed.items),
            leaving=sum(b.leaving for b in listed.items),
        )

    def _signal_if_ready(self) -> None:
        if self.ready:
            self.became_ready.set()

    # Fallback without control

    async def poll_backend_list(self) -> None:
        """Read the platform's list whenever control's copy is too old."""
        pause = FIRST_LIST_DELAY_S
        while True:
            await asyncio.sleep(pause * (0.75 + random.random() / 2))
            pause = max(1.0, self.entry_count() / LIST_CALLS_PER_S)
            if time.monotonic() - self.backends_read_at < LIST_MAX_AGE_S:
                continue
            started_at = time.monotonic()
            try:
                async with asyncio.timeout(LIST_TIMEOUT_S):
                    backends = await self.backend_list.fetch()
            except (TimeoutError, errors.PeerError) as error:
                loguru.logger.bind(error=str(error)).warning(
                    'backend list not available'
                )
                continue
            self.backends_version = ''
            self._check_suspension()
            self._apply_backends(decisions.BackendList.of(backends))
            self.placement.known_versions.on_own_list(
                min(time.monotonic(), started_at + decisions.LIST_MARGIN_S)
            )

    def _check_suspension(self) -> None:
        """Note a suspension of the machine, which no monotonic time shows.

        Versions may have come and gone between the lists before and after it.
        """
        suspended_s = _suspended_s()
        if suspended_s - self.suspended_s > MIN_SUSPENSION_S:
            self.placement.known_versions.on_suspended()
        self.suspended_s = suspended_s

    # Directory for callers

    def addresses(self, limit: int, caller: str = '') -> list[str]:
        """Return addresses of ready entries in random order.

        Those that reach no backend server serve callers through others, and
        are left out unless all are in this state. Where entries differ in
        capacity, each caller gets a stable subset by their weights.

        :param limit: maximum number of addresses; a random subset balances
            callers across entries.
        :param caller: address of the caller.
        """
        ready = [
            entry
            for entry in self.entries
            if entry.ready and entry.name != self.own_entry.name
        ]
        own = self._own_entry_now()
        is_listed = any(e.name == own.name for e in self.entries if e.ready)
        if own.ready and (self.ready or is_listed):
            ready.append(own)
        connected = [e for e in ready if not self._is_cut_off(e)]
        candidates = connected or ready
        known = [e for e in self.entries if e.name != own.name] + [own]
        if decisions.weights_differ(known):
            candidates = decisions.choose_entries(
                candidates, known, caller, limit
            )
        addresses = [entry.callers for entry in candidates]
        random.shuffle(addresses)
        return addresses[:limit]


def _suspended_s() -> float:
    """Return for how long the machine was suspended since it started."""
    return node.boot_time() - time.monotonic()


def _probers(entries: list[messages.ListedEntry]) -> list[str]:
    """Return the entries that probe engines which others have lost."""
    able = [e for e in entries if e.ready and not e.unreachable]
    probers = able or entries
    ordered = sorted(probers, key=lambda e: (e.data_centre, e.name))
    return [entry.name for entry in ordered]
