"""Builds and runs an entry with the product's own HTTP interface."""

import asyncio
import random
import time
import typing as t

import loguru

from bulrushhold.composition import _background
from bulrushhold import settings

if t.TYPE_CHECKING:
    from bulrushhold import decisions
    from bulrushhold import ports

DRAIN_CHECK_INTERVAL_S: t.Final = 0.1
# A supervisor, a shell and a process group may each pass on the same order.
SIGNAL_BURST_S: t.Final = 1.0
# Requests that end within this time after the drain are still served.
EXIT_GRACE_S: t.Final = 5.0
# Enough to write the answers to the requests that are left.
SHUTDOWN_TIMEOUT_S: t.Final = 2.0
# Time in which other entries take over the generations that the exit has cut.
TAKE_OVER_S: t.Final = 3.0


class EntryProcess:
    """An entry with all its components, as run by :func:`run_entry`."""

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
        self.replicator = entry.TranscriptReplicator(
            config.copies,
            self.transport,
            self.metrics,
            lambda: self.registry.refresh_pointers(),
        )
        self.background: set[asyncio.Task[t.Any]] = set()
        self.loops = _background.LoopSupervisor(self.metrics)

    async def start(self) -> None:
        """Open the sockets and start serving."""
        import aiohttp

        from bulrushhold import entry
        from bulrushhold import web as adapters

        config = self.config
        invalid = adapters.InvalidResponses(self.metrics)
        self.session = aiohttp.ClientSession(
            connector=adapters.StrictConnector(on_invalid=invalid.record),
            auto_decompress=False,
        )
        self.view = entry.PlatformView(
            config,
            adapters.HttpPlatformList(self.session, config.platform_url),
            self.router,
            self.membership,
        )
        registrar = entry.KeyRegistrar(
            config,
            self.transport,
            self.store,
            lambda: self.view.entries,
            lambda: list(self.replicator.peers),
        )
        self.admission = entry.Admission(
            config,
            self.transport,
            lambda: self.table.rows,
            lambda: self.table.accounts,
            self.view.listed,
            self.metrics,
        )
        quarantine = entry.SharedQuarantine(
            self.control,
            self.table,
            lambda fingerprints: self.registry.refuse_quarantined(
                fingerprints
            ),
            self.spawn,
            config.table_poll_s,
        )
        generation_runner = entry.GenerationRunner(
            config.recovery,
            self.router,
            adapters.HttpEngineClient(self.session),
            _make_policy(config.recovery),
            self.replicator,
            self.admission,
            quarantine,
            self.metrics,
        )
        self.registry = entry.GenerationRegistry(
            config, generation_runner, registrar, self.replicator, self.store
        )
        self.table.listeners.append(
            lambda: self.registry.refuse_quarantined(self.table.quarantined)
        )
        self.table.listeners.append(
            lambda: generation_runner.crash_tracker.add_reported(
                self.table.poison_candidates
            )
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
            self.registry,
            services,
            self.admission,
            self.metrics,
            entry.OperatorRoutes(self.control, _operator_key(config)),
        )
        self.membership.listeners.append(self._on_member_changed)
        await self.view.poll()
        self.prober.announce_start()
        self.loops.start('table', self.table.run)
        self.loops.start('platform list', self.view.run)
        self.loops.start('prober', self.prober.run)
        self.loops.start('copy peers', self._update_peers)
        self.loops.start('registry', self.registry.sweep)
        self.loops.start('admission', self.admission.sweep)
        guard = adapters.make_guard(None, config.clients, self.metrics)
        self.loops.start('clients', guard.watch)
        self.runner = await adapters.start_application(
            self.server.application(),
            guard,
            config.http.host,
            config.http.port,
            max_body_bytes=config.max_body_bytes,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            # Cancels the stream of a caller that disconnects before the
            # first token.
            handler_cancellation=True,
        )
        loguru.logger.bind(http=str(config.http)).info('entry started')

    async def drain(self) -> None:
        """Refuse new requests and wait for running ones to finish.

        Callers with open connections don't know yet that this entry leaves,
        and a request that meets a connection being closed gets no answer.
        They are refused for a while, which closes their connections.
        """
        self.server.draining = True
        self.prober.announce_leaving()
        loguru.logger.info('draining')
        now = time.monotonic()
        deadline = now + self.config.drain_deadline_s
        lingers_until = min(now + self.config.linger_s, deadline)
        while time.monotonic() < lingers_until or (
            self._is_answering() and time.monotonic() < deadline
        ):
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    def _is_answering(self) -> bool:
        """Return whether an exit would cut an answer or lose an outcome."""
        from bulrushhold import web as adapters

        unsent = adapters.count_unsent(self.runner.server)
        return self.server.in_progress or unsent > 0

    async def close(self) -> None:
        """Answer what is left, stop all tasks and close all sockets."""
        from bulrushhold import web as adapters

        deadline = time.monotonic() + EXIT_GRACE_S
        while self.server.requests_in_progress and time.monotonic() < deadline:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        has_successors = self.server.shut_down()
        await self.loops.close()
        for task in list(self.background):
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        await adapters.close_runner(self.runner)
        if has_successors and not self.transport.closed:
            # They ask this entry, as a home of keys and copies.
            await asyncio.sleep(TAKE_OVER_S)
        await self.replicator.close()
        await self.session.close()
        await self.transport.close()

    def spawn(self, coroutine: t.Coroutine[t.Any, t.Any, t.Any]) -> None:
        """Start a background task that :meth:`close` cancels."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[t.Any]) -> None:
        self.background.discard(task)
        _background.log_failure(task)

    def _on_member_changed(
        self, instance: 'ports.Instance', may_have_restarted: bool
    ) -> None:
        self.view.changed.set()
        if may_have_restarted:
            self.replicator.resend(instance.peer)
            self.registry.on_home_restarted(instance.peer)

    async def _update_peers(self) -> None:
        previous_names: set[str] = set()
        while True:
            self.replicator.set_candidates(self.view.copy_candidates())
            self.admission.set_capacity(self.view.engine_slots())
            names = {instance.name for instance in self.view.entries}
            if names != previous_names:
                previous_names = names
                self.store.homes_changed(time.monotonic())
                self.registry.refresh_pointers()
            await self.view.changed.wait()
            self.view.changed.clear()


async def run_entry(config: settings.Entry) -> None:
    """Run an entry until a signal stops it, then drain it.

    A later signal ends the drain; those that come with the first one don't.
    """
    process = EntryProcess(config)
    signals = asyncio.Queue[None]()
    _background.handle_stop_signals(lambda: signals.put_nowait(None))
    await process.start()
    await signals.get()
    drain_task = asyncio.ensure_future(process.drain())
    second_signal = asyncio.ensure_future(_later_signal(signals))
    await asyncio.wait(
        (drain_task, second_signal), return_when=asyncio.FIRST_COMPLETED
    )
    drain_task.cancel()
    second_signal.cancel()
    await process.close()


async def _later_signal(signals: asyncio.Queue[None]) -> None:
    """Wait for a signal after those that come with the first one."""
    await asyncio.sleep(SIGNAL_BURST_S)
    while not signals.empty():
        signals.get_nowait()
    await signals.get()


def _make_policy(config: settings.Recovery) -> 'decisions.RecoveryPolicy':
    from bulrushhold import decisions

    policies: dict[str, type[decisions.RecoveryPolicy]] = {
        'thrifty': decisions.SequentialPolicy,
        'prompt': decisions.HedgingPolicy,
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
