"""Builds and runs an entry that forwards opaque requests."""

import asyncio
import collections
import random
import time
import typing as t

import attrs
import loguru

from bulrushhold.composition import _background
from bulrushhold import settings

if t.TYPE_CHECKING:
    import aiohttp
    from aiohttp import web

    from bulrushhold import calls
    from bulrushhold import forwarding
    from bulrushhold import ports

DRAIN_CHECK_INTERVAL_S: t.Final = 0.1
# Short, as the auxiliary ports have no long requests.
SHUTDOWN_TIMEOUT_S: t.Final = 0.2
# Reserved for closing before the process is killed.
EXIT_MARGIN_S: t.Final = 0.4
# Reserved in addition, as a multiple of the longest pause in the last second.
LAG_FACTOR: t.Final = 3.0
LAG_CHECKS: t.Final = 10
MAX_LAG_MARGIN_S: t.Final = 0.5
# Reserved for errors that answer what hasn't been answered by then.
ANSWER_S: t.Final = 0.5
# The same for a process that finds only now that it is busy.
MIN_ANSWER_S: t.Final = 0.25


@attrs.frozen
class ForwardingAdapters:
    """Platform-specific components of a forwarding entry.

    :param make_backend_list: returns the reader of the platform's list.
    :param listeners: further ports, each with a factory for the application
        that it serves.
    """

    caller_dialect: 'calls.CallerDialect'
    engine_dialect: 'calls.EngineDialect'
    make_backend_list: t.Callable[
        ['aiohttp.ClientSession', 'ports.Metrics'], 'ports.BackendList'
    ]
    listeners: list[
        tuple[
            settings.Address,
            t.Callable[['forwarding.FleetView'], 'web.Application'],
        ]
    ]


class ForwardingEntry:
    """An entry that forwards opaque requests, with all its components."""

    def __init__(
        self, config: settings.Forwarding, adapters: ForwardingAdapters
    ) -> None:
        from bulrushhold import node

        self.config = config
        self.adapters = adapters
        self.metrics = node.make_prometheus_metrics('bulrushhold_entry')
        self.loops = _background.LoopSupervisor(self.metrics)
        self.runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Open the sockets and start serving."""
        from bulrushhold import decisions
        from bulrushhold import forwarding
        from bulrushhold import messages
        from bulrushhold import node
        from bulrushhold import web as adapters

        config = self.config
        self.transport = node.ZmqTransport(str(config.peer))
        invalid = adapters.InvalidResponses(self.metrics)
        self.session = adapters.make_session(on_invalid=invalid.record)
        placement = decisions.Placement(random.Random(), config.data_centre)
        placement.incarnations.max_lag_s = config.list_lag_s
        poison_requests = decisions.PoisonRequestDetector(placement.losses)
        buffers = None
        if config.memory_bytes:
            buffers = adapters.BufferBudget(config.memory_bytes, self.metrics)
            self.memory = adapters.MemoryMonitor(buffers, config.memory_bytes)
            self.loops.start('memory', self.memory.watch)
        self.guard = adapters.make_guard(
            buffers,
            config.clients,
            self.metrics,
            config.max_files,
            config.memory_bytes,
        )
        self.loops.start('clients', self.guard.watch)
        oversized = forwarding.OversizedResponses(placement, self.metrics)
        direct = adapters.HttpBackendClient(
            self.adapters.engine_dialect,
            buffers,
            oversized.record,
            invalid.record,
        )
        monitor = forwarding.ReachabilityMonitor(
            direct, placement, self.metrics
        )
        self.client = forwarding.PermitCheckingClient(
            forwarding.ProxyingClient(
                direct,
                adapters.HttpPeerProxyClient(
                    buffers, oversized.record, invalid.record
                ),
                monitor,
                placement,
                decisions.ProxyPeers(config.name),
                lambda: self.fleet.entries,
                self.metrics,
            ),
            placement,
            poison_requests,
        )
        budget = decisions.ServiceRetryBudget(
            config.repeat_ratio,
            config.repeat_allowance,
            config.repeat_window_s,
            time.monotonic(),
        )
        admission = decisions.AdmissionController()
        self.fleet = forwarding.FleetView(
            messages.ListedEntry(
                config.name,
                config.data_centre,
                str(config.callers),
                True,
                str(config.proxy or ''),
                weight=config.weight,
                has_disk=config.has_disk,
            ),
            [str(seed) for seed in config.seeds],
            self.transport,
            self.adapters.make_backend_list(self.session, self.metrics),
            placement,
            budget,
            poison_requests,
            admission,
        )
        self.fleet.is_healthy = lambda: not self.loops.failing
        poison_requests.on_verdict = forwarding.make_crash_listener(
            self.metrics
        )
        load = forwarding.EntryLoadMonitor(
            self.fleet,
            config.cpu_share,
            config.max_files,
            lambda: buffers.share if buffers is not None else 0.0,
            self.metrics,
        )
        places = forwarding.ControlPlaces(
            self.transport,
            placement,
            config.name,
            lambda: self.fleet.servers.nodes,
        )
        origins = forwarding.ControlOrigins(
            self.transport, lambda: self.fleet.servers.nodes
        )
        self.fleet.on_change.append(origins.update_nodes)
        gauges = forwarding.VersionGauges(placement, self.metrics)
        self.fleet.on_change.append(gauges.update)
        failure_gauges = forwarding.FailureGauges(placement, self.metrics)
        self.fleet.on_change.append(failure_gauges.update)
        retry_gauges = forwarding.RetryGauges(budget, self.metrics)
        self.fleet.on_change.append(retry_gauges.update)
        context = forwarding.ForwardingContext(
            placement,
            self.client,
            budget,
            self.metrics,
            poison_requests,
            admission,
            config.name,
            forwarding.ControlPermitSource(
                self.transport, lambda: self.fleet.servers.nodes
            ),
            places=places,
            origins=origins,
            retry_pool=forwarding.ControlRetryPool(
                budget,
                self.transport,
                config.name,
                lambda: self.fleet.servers.nodes,
            ),
            scheduling=forwarding.HomeScheduling(
                self.transport,
                placement,
                admission,
                self.metrics,
                config.name,
                lambda: self.fleet.servers.nodes,
                forwarding.EngineShareScheduler(
                    placement,
                    lambda: self.fleet.own_entry,
                    lambda: self.fleet.entries,
                    time.monotonic,
                ),
            ),
        )
        self.forwarder = forwarding.Forwarder(self.fleet, context)
        silences = forwarding.SilenceMonitor(context)
        self.loops.start('silences', silences.watch)
        server_checks = forwarding.ServerChecks(self.client, placement)
        self.loops.start(
            'server checks',
            lambda: server_checks.watch(self.fleet.single_run_services),
        )
        self.ingress = adapters.Ingress(
            self.forwarder.handle,
            self.adapters.caller_dialect,
            buffers,
            self.guard,
        )
        self.fleet.on_change.append(self._update_client_limits)
        self.proxy_server = adapters.PeerProxyServer(
            forwarding.DirectProxyHandler(
                forwarding.PermitCheckingClient(
                    direct, placement, poison_requests
                ),
                context,
                self.fleet,
                monitor,
                lambda: self.forwarder.closing or self.forwarder.drain.ending,
            ),
            buffers,
            self.guard,
        )
        self.follow_task = self.loops.start('control', self.fleet.follow)
        self.loops.start('backend list', self.fleet.poll_backend_list)
        self.loops.start('load reports', self.fleet.report_load)
        self.loops.start('reachability', monitor.watch)
        self.loops.start('entry load', load.watch)
        self.loops.start('places', places.refresh)
        self.loops.start(
            'version checks',
            lambda: context.version_checks.watch(
                self.fleet.resumable_services
            ),
        )
        if config.proxy is not None:
            await self.proxy_server.start(config.proxy.host, config.proxy.port)
        await self.ingress.start(config.callers.host, config.callers.port)
        for address, make_application in self.adapters.listeners:
            await self._start_listener(address, make_application(self.fleet))
        if config.metrics is not None:
            await self._start_listener(
                config.metrics, adapters.metrics_application(self.metrics)
            )
        loguru.logger.bind(callers=str(config.callers)).info('entry started')

    def _update_client_limits(self) -> None:
        if self.fleet.index is not None:
            self.ingress.set_limits(self.fleet.index.map.client_limits)

    async def _start_listener(
        self, address: settings.Address, app: 'web.Application'
    ) -> None:
        from bulrushhold import web as adapters

        runner = await adapters.start_application(
            app,
            self.guard,
            address.host,
            address.port,
            repeatable_reads=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self.runners.append(runner)

    async def drain(self) -> None:
        """Ask callers to disconnect, and serve their requests meanwhile.

        Callers learn with a delay that this entry is leaving, and a request
        may be in flight while a connection is closed. Connections therefore
        stay open as long as possible; what can't be finished any more is
        refused.
        """
        started_at = time.monotonic()
        self.fleet.start_draining()
        self.ingress.draining = True
        self.follow_task.cancel()
        self.follow_task = self.loops.start('control', self.fleet.follow)
        loguru.logger.info('draining')
        last_deadline = started_at + self.config.grace_s - EXIT_MARGIN_S
        deadline = last_deadline
        self.forwarder.drain_deadline = deadline - ANSWER_S
        lags_s: collections.deque[float] = collections.deque(maxlen=LAG_CHECKS)
        now = time.monotonic()
        while now < deadline:
            checked_at = now
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
            now = time.monotonic()
            lags_s.append(now - checked_at - DRAIN_CHECK_INTERVAL_S)
            # A process that is busy now needs longer to answer and to close.
            margin_s = min(LAG_FACTOR * max(lags_s), MAX_LAG_MARGIN_S)
            busy_deadline = max(
                last_deadline - margin_s, min(deadline, now + MIN_ANSWER_S)
            )
            if abs(busy_deadline - deadline) > DRAIN_CHECK_INTERVAL_S:
                deadline = busy_deadline
                self.forwarder.drain_deadline = deadline - ANSWER_S
            if now > deadline - ANSWER_S:
                self.ingress.stop_reading()
            linger_elapsed = now > started_at + self.config.linger_s
            in_progress = (
                self.ingress.in_progress + self.proxy_server.in_progress
            )
            if linger_elapsed and not in_progress:
                break
        # Nothing that is accepted from now on could be completed.
        self.forwarder.closing = True
        self.ingress.stop_reading()

    async def close(self) -> None:
        """Stop all tasks and close all sockets."""
        self.forwarder.drain.log_unfinished()
        # Callers first: nothing else may delay their answers.
        await self.ingress.close()
        await self.loops.close()
        if self.config.proxy is not None:
            await self.proxy_server.close()
        for runner in self.runners:
            await runner.cleanup()
        await self.client.close()
        await self.session.close()
        await self.transport.close()
        loguru.logger.info('entry stopped')


async def run_forwarding(entry: ForwardingEntry) -> None:
    """Run a forwarding entry until a signal stops it, then drain it."""
    stop = asyncio.Event()
    _background.handle_stop_signals(stop.set)
    await entry.start()
    await stop.wait()
    await entry.drain()
    await entry.close()
