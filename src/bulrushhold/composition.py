"""The composition root: wires the parts of each process.

Imports stand in the methods: control must not load the HTTP stack, which
alone would take a third of its memory budget.
"""

import abc
import asyncio
import contextlib
import random
import signal
import time
import typing as t

import attrs
import loguru

from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import settings

if t.TYPE_CHECKING:
    import aiohttp
    from aiohttp import web

    from bulrushhold import calls
    from bulrushhold import control
    from bulrushhold import decisions
    from bulrushhold import forwarding
    from bulrushhold import ports


DRAIN_CHECK_S: t.Final = 0.1
DISK_RETRY_S: t.Final = 0.5
# Ports that answer at once need no time to close.
CLOSE_S: t.Final = 0.2
# Left of the time before the kill, for closing and for a busy machine.
EXIT_MARGIN_S: t.Final = 0.7
# A request taken later than this before the end would be cut off.
LAST_TAKEN_S: t.Final = 2.0


async def run_control(
    config: settings.Control,
    attach: t.Callable[['control.ControlServer'], 'Attachment'] | None = None,
) -> None:
    """Run a control process until it is told to stop.

    :param attach: adds what serves beside the replica, such as the
        operators' port.
    :raises StorageError: where its data folder can't be trusted.
    """
    stop = asyncio.Event()
    _on_signals(stop.set)
    while not stop.is_set():
        try:
            await _serve_control(config, attach, stop)
        except errors.StorageError as error:
            if attach is None:
                raise
            # The disk is full or refuses to sync. What was written isn't
            # sure to be there, so that the replica begins anew from what
            # the disk gives back; leaving the process would do the same,
            # but count as a crash of its own.
            loguru.logger.bind(error=str(error)).error('disk failed')
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DISK_RETRY_S):
                    await stop.wait()


class Attachment(abc.ABC):
    """What runs beside the replica in a control process."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Open ports and begin background work."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close ports and end background work."""


async def _serve_control(
    config: settings.Control,
    attach: t.Callable[['control.ControlServer'], 'Attachment'] | None,
    stop: asyncio.Event,
) -> None:
    from bulrushhold import control
    from bulrushhold import decisions
    from bulrushhold import node

    store = node.FileLog(config.data_dir)
    durable, ident = control.open_replica(config, store)
    replica = decisions.Replica(
        ident,
        durable,
        decisions.Timing(config.heartbeat_s, config.election_s),
        random.Random(),
        node.boot_time(),
    )
    state = decisions.ReplicatedState.restore(replica.snapshot.state)
    transport = node.ZmqTransport(str(config.peer))
    metrics = node.make_metrics(config.metrics, 'bulrushhold.control')
    server = control.ControlServer(
        config,
        replica,
        state,
        store,
        transport,
        metrics,
        node.boot_time,
    )
    attachment = attach(server) if attach else None
    if attachment is not None:
        await attachment.start()
    serving = asyncio.ensure_future(server.run())
    stopping = asyncio.ensure_future(stop.wait())
    loguru.logger.bind(replica=ident).info('control started')
    try:
        await asyncio.wait(
            (serving, stopping), return_when=asyncio.FIRST_COMPLETED
        )
        if serving.done():
            serving.result()
    finally:
        serving.cancel()
        stopping.cancel()
        await asyncio.gather(serving, stopping, return_exceptions=True)
        if attachment is not None:
            await attachment.close()
        await transport.close()
        store.close()
        loguru.logger.bind(replica=ident).info('control stopped')


class EntryProcess:
    """An entry with all its parts, as :func:`run_entry` runs it."""

    def __init__(self, config: settings.Entry) -> None:
        from bulrushhold import decisions
        from bulrushhold import entry
        from bulrushhold import node

        self.config = config
        self.metrics = node.make_metrics(config.metrics, 'bulrushhold.entry')
        self.transport = node.ZmqTransport(str(config.peer))
        self.control = entry.ControlClient(
            [str(address) for address in config.control], self.transport
        )
        self.table = entry.TableView(config, self.control)
        self.router = decisions.Router()
        self.membership = decisions.Membership(
            config.name, int(time.time() * 1000), random.Random()
        )
        self.prober = entry.Prober(self.membership, self.transport)
        self.store = decisions.CopyStore(
            config.copies.keep_s, time.monotonic()
        )
        self.copies = entry.CopyWriter(
            config.copies, self.transport, self.metrics
        )
        self.background: set[asyncio.Task[t.Any]] = set()

    async def start(self) -> None:
        """Open the sockets, and serve."""
        import aiohttp
        from aiohttp import web

        from bulrushhold import entry
        from bulrushhold import web as adapters

        config = self.config
        # No limit: the default of 100 connections would hold back the
        # hundred-and-first stream, as if an engine were slow.
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            auto_decompress=False,
        )
        self.view = entry.PlatformView(
            config,
            adapters.HttpPlatformList(self.session, config.platform_url),
            self.router,
            self.membership,
        )
        keys = entry.KeyTaker(
            config,
            self.transport,
            self.store,
            lambda: self.view.entries,
            self.view.copy_peers,
        )
        self.admission = entry.Admission(
            config,
            self.transport,
            lambda: self.table.rows,
            lambda: self.table.accounts,
            self.view.listed,
            self.metrics,
        )
        runner = entry.GenerationRunner(
            config.recovery,
            self.router,
            adapters.HttpEngineClient(self.session),
            _policy(config.recovery),
            self.copies,
            self.admission,
            _Quarantine(self),
            self.metrics,
        )
        self.streams = entry.Streams(
            config, runner, keys, self.copies, self.store
        )
        self.table.changed.append(
            lambda: self.streams.refuse_quarantined(self.table.quarantined)
        )
        self.table.changed.append(
            lambda: runner.suspects.learn(self.table.suspects)
        )
        services = entry.ServiceRunner(
            self.router,
            adapters.HttpServiceClient(self.session),
            self.control,
            self.metrics,
        )
        self.server = entry.EntryServer(
            config,
            self.view,
            self.table,
            self.control,
            self.streams,
            services,
            self.admission,
            self.metrics,
            entry.OperatorRoutes(self.control, _operator_key(config)),
        )
        await self.view.poll()
        self.spawn(self.table.run())
        self.spawn(self.view.run())
        self.spawn(self.prober.run())
        self.spawn(self._follow_peers())
        self.spawn(self.streams.sweep())
        self.spawn(self.admission.sweep())
        self.runner = web.AppRunner(
            self.server.application(),
            access_log=None,
            shutdown_timeout=5.0,
            # Else a caller that leaves before the first token would hold
            # its stream until an engine sends one.
            handler_cancellation=True,
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, config.http.host, config.http.port)
        await site.start()
        loguru.logger.bind(http=str(config.http)).info('entry started')

    async def drain(self) -> None:
        """Take nothing new, and wait for what is in progress."""
        self.server.draining = True
        self.prober.leave()
        loguru.logger.info('draining')
        end = time.monotonic() + self.config.drain_deadline_s
        while self.server.busy and time.monotonic() < end:
            await asyncio.sleep(DRAIN_CHECK_S)

    async def close(self) -> None:
        """Stop all parts."""
        for task in list(self.background):
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        await self.runner.cleanup()
        await self.copies.close()
        await self.session.close()
        await self.transport.close()

    def spawn(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> None:
        """Run work in the background until the process closes."""
        task = asyncio.get_running_loop().create_task(work)
        self.background.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[t.Any]) -> None:
        self.background.discard(task)
        _log_end(task)

    async def _follow_peers(self) -> None:
        known: set[str] = set()
        while True:
            self.copies.set_peers(self.view.copy_peers())
            self.admission.set_capacity(self.view.engine_slots())
            names = {instance.name for instance in self.view.entries}
            if names != known:
                known = names
                self.store.homes_changed(time.monotonic())
            await self.view.changed.wait()
            self.view.changed.clear()


@attrs.frozen
class ForwardingAdapters:
    """What a forwarding entry is given from outside.

    :param backends: makes the reader of the platform's list.
    :param sites: further ports, with what each answers.
    """

    callers: 'calls.CallerDialect'
    engines: 'calls.EngineDialect'
    backends: t.Callable[['aiohttp.ClientSession'], 'ports.BackendList']
    sites: list[
        tuple[
            settings.Address,
            t.Callable[['forwarding.Fleet'], 'web.Application'],
        ]
    ]


class ForwardingEntry:
    """An entry that forwards opaque requests, with all its parts."""

    def __init__(
        self, config: settings.Forwarding, adapters: ForwardingAdapters
    ) -> None:
        self.config = config
        self.adapters = adapters
        self.background: list[asyncio.Task[t.Any]] = []
        self.runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Open the sockets, and serve."""
        from aiohttp import web

        from bulrushhold import decisions
        from bulrushhold import forwarding
        from bulrushhold import messages
        from bulrushhold import node
        from bulrushhold import web as adapters

        config = self.config
        self.transport = node.ZmqTransport(str(config.peer))
        self.session = adapters.make_session()
        self.client = adapters.HttpBackendClient(self.adapters.engines)
        placement = decisions.Placement(random.Random())
        budget = decisions.RepeatBudget(
            config.repeat_ratio,
            config.repeat_allowance,
            config.repeat_window_s,
        )
        self.fleet = forwarding.Fleet(
            messages.ListedEntry(
                config.name, config.data_centre, str(config.callers), True
            ),
            [str(seed) for seed in config.seeds],
            self.transport,
            self.adapters.backends(self.session),
            placement,
            budget,
        )
        self.metrics = node.make_served_metrics('bulrushhold_entry')
        parts = forwarding.Parts(
            placement,
            self.client,
            budget,
            self.metrics,
        )
        self.forwarder = forwarding.Forwarder(self.fleet, parts)
        self.ingress = adapters.Ingress(
            self.forwarder.handle, self.adapters.callers
        )
        self.follow = in_background(self.fleet.follow())
        self.background.append(in_background(self.fleet.read_list_alone()))
        self.background.append(in_background(self.fleet.share()))
        await self.ingress.start(config.callers.host, config.callers.port)
        for address, make in self.adapters.sites:
            await self._open(web, address, make(self.fleet))
        if config.metrics is not None:
            await self._open(
                web, config.metrics, adapters.metrics_application(self.metrics)
            )
        loguru.logger.bind(callers=str(config.callers)).info('entry started')

    async def _open(
        self, web: t.Any, address: settings.Address, app: 'web.Application'
    ) -> None:
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=CLOSE_S)
        await runner.setup()
        await web.TCPSite(runner, address.host, address.port).start()
        self.runners.append(runner)

    async def drain(self) -> None:
        """Tell callers to leave, and serve those that still come.

        Callers learn late that this entry leaves, and a request may cross
        a close unseen. So connections stay open until callers are gone,
        and only then new requests are refused.
        """
        begun = time.monotonic()
        self.fleet.leave()
        self.ingress.draining = True
        self.follow.cancel()
        self.follow = in_background(self.fleet.follow())
        loguru.logger.info('draining')
        last = begun + self.config.grace_s - EXIT_MARGIN_S
        while time.monotonic() < last:
            await asyncio.sleep(DRAIN_CHECK_S)
            now = time.monotonic()
            lingered = now > begun + self.config.linger_s
            if now > last - LAST_TAKEN_S:
                self.forwarder.closing = True
            if lingered and not self.ingress.busy:
                break

    async def close(self) -> None:
        """Stop all parts."""
        tasks = [self.follow, *self.background]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.ingress.close()
        for runner in self.runners:
            await runner.cleanup()
        await self.client.close()
        await self.session.close()
        await self.transport.close()
        loguru.logger.info('entry stopped')


async def run_forwarding(entry: ForwardingEntry) -> None:
    """Run a forwarding entry until it is told to stop, then drain it."""
    stop = asyncio.Event()
    _on_signals(stop.set)
    await entry.start()
    await stop.wait()
    await entry.drain()
    await entry.close()


class _Quarantine:
    """Refuses contents here at once, and everywhere through control."""

    def __init__(self, process: EntryProcess) -> None:
        self.process = process
        self.own: set[str] = set()

    def refused(self, fingerprint: str) -> bool:
        """Whether the content is quarantined."""
        return (
            fingerprint in self.own
            or fingerprint in self.process.table.quarantined
        )

    def add(self, fingerprint: str, reason: str) -> None:
        """Have the content refused by every entry."""
        self.own.add(fingerprint)
        self.process.streams.refuse_quarantined(frozenset(self.own))
        self.process.spawn(self._tell(fingerprint, reason))

    def suspect(self, fingerprints: list[str]) -> None:
        """Tell every entry that an engine died under these contents."""
        self.process.spawn(self._propose(messages.Suspected(fingerprints)))

    async def _propose(self, order: messages.Message) -> None:
        while True:
            with contextlib.suppress(errors.PeerError):
                await self.process.control.propose(order, 10.0)
                break

    async def _tell(self, fingerprint: str, reason: str) -> None:
        await self._propose(
            messages.Quarantine(fingerprint, reason, time.time())
        )
        # From here on control's list counts, so that operators can lift.
        await asyncio.sleep(2 * self.process.config.table_poll_s)
        self.own.discard(fingerprint)


async def run_entry(config: settings.Entry) -> None:
    """Run an entry until it is told to stop, then drain it.

    A second signal stops it without waiting for its streams.
    """
    process = EntryProcess(config)
    signals = asyncio.Queue[None]()
    _on_signals(lambda: signals.put_nowait(None))
    await process.start()
    await signals.get()
    drained = asyncio.ensure_future(process.drain())
    again = asyncio.ensure_future(signals.get())
    await asyncio.wait((drained, again), return_when=asyncio.FIRST_COMPLETED)
    drained.cancel()
    again.cancel()
    await process.close()


def in_background(
    work: t.Coroutine[t.Any, t.Any, t.Any],
) -> asyncio.Task[t.Any]:
    """Run work that is never to end, and log it if it does."""
    task = asyncio.get_running_loop().create_task(work)
    task.add_done_callback(_log_end)
    return task


def _log_end(task: asyncio.Task[t.Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        loguru.logger.opt(exception=task.exception()).error(
            'background work failed'
        )


def _policy(config: settings.Recovery) -> 'decisions.RecoveryPolicy':
    from bulrushhold import decisions

    policies: dict[str, type[decisions.RecoveryPolicy]] = {
        'thrifty': decisions.ThriftyPolicy,
        'prompt': decisions.PromptPolicy,
    }
    return policies[config.policy](
        config.gap_factor,
        config.min_gap_s,
        config.max_gap_s,
        config.first_token_s,
        decisions.WorkBudget(config.extra_share),
    )


def _operator_key(config: settings.Entry) -> str:
    if not config.operator_key_file:
        return ''
    return settings.read_key(config.operator_key_file)


def _on_signals(call: t.Callable[[], None]) -> None:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, call)
    # Without a handler it ends the process. Settings are read again by
    # whoever follows them.
    loop.add_signal_handler(
        signal.SIGHUP, lambda: loguru.logger.info('asked to reload')
    )
