"""Simulates entries that use the production decisions on emulated engines."""

import asyncio
import collections.abc as cabc
import random
import typing as t

import attrs

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold.emulator import _client
from bulrushhold.emulator import _engine
from bulrushhold.emulator import _workload
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports

# Until the other entries receive a load report.
LOAD_REPORT_DELAY_S: t.Final = 0.05
# Unchanged load is reported again after this time.
REPORT_REFRESH_S: t.Final = 1.0
# Between the polls of an entry for the loads of others.
POLL_S: t.Final = 0.3
# Between an entry and a control process.
ROUND_TRIP_S: t.Final = 0.003
PERMIT_TIMEOUT_S: t.Final = 0.15
# Until the platform lists a restarted engine.
LIST_LAG_S: t.Final = 0.8
# Callers abandon a stream without a first event after this multiple of the
# target latency.
FIRST_EVENT_TIMEOUT_FACTOR: t.Final = 4


class PermitHome(ports.PermitSource):
    """The home of all servers, reached over an emulated network.

    :ivar reachable: whether it answers.
    """

    def __init__(self, rng: random.Random) -> None:
        self.home = decisions.PermitHome(rng)
        self.reachable = True
        self.asks = 0

    async def request(self, ask: messages.PermitAsk) -> messages.PermitGrant:
        """Return the home's grant after a round trip."""
        self.asks += 1
        if not self.reachable:
            await asyncio.sleep(PERMIT_TIMEOUT_S)
            raise errors.PeerError('no reply', 'PermitAsk')
        await asyncio.sleep(ROUND_TRIP_S / 2)
        grant = self.home.grant(ask, _workload.emulated_now())
        await asyncio.sleep(ROUND_TRIP_S / 2)
        return grant


class _HomeTransport(ports.Transport):
    """Reaches the home of all retry budgets over an emulated network.

    :ivar reachable: whether it answers.
    """

    def __init__(self, rng: random.Random) -> None:
        self.nodes = [messages.ControlNode('home', 'dc0', False)]
        self.home = decisions.RetryHome('home', rng, float('-inf'))
        self.home.update_nodes(self.nodes, float('-inf'))
        self.reachable = True

    def restart(self) -> None:
        """Replace the home by a process that knows nothing."""
        now = _workload.emulated_now()
        self.home = decisions.RetryHome('home', self.home.rng, now)
        self.home.update_nodes(self.nodes, now)

    def handle(self, kind: type, handler: ports.Handler) -> None:
        """Do nothing: no process asks an entry."""

    def send(self, address: str, message: messages.Message) -> None:
        """Tell the home of retries that were delayed."""
        assert isinstance(message, messages.RetryDelay)
        if self.reachable:
            self.home.record_delay(
                message.service, message.count, _workload.emulated_now()
            )

    async def request(
        self, address: str, message: messages.Message, timeout: float
    ) -> t.Any:
        """Return the home's grant after a round trip."""
        if not self.reachable:
            await asyncio.sleep(timeout)
            raise errors.PeerError('no reply', 'RetryAsk')
        assert isinstance(message, messages.RetryAsk)
        await asyncio.sleep(ROUND_TRIP_S / 2)
        grant = self.home.grant(message, _workload.emulated_now())
        await asyncio.sleep(ROUND_TRIP_S / 2)
        return grant

    async def close(self) -> None:
        """Do nothing."""


class _Entry:
    def __init__(
        self,
        name: str,
        data_centre: str,
        system: 'EntryGroup',
        client: calls.BackendClient,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.name = name
        self.system = system
        self.budget = decisions.ServiceRetryBudget(0.8, 150.0, 10.0)
        self.admission = decisions.AdmissionController()
        self.placement = decisions.Placement(system.rng, data_centre)
        self.placement.on_load_change = self._schedule_report
        self.placement.demands.limits.on_change = self._schedule_report
        self.report_scheduled = False
        self.summary_number = 0
        poison_requests = decisions.PoisonRequestDetector(
            self.placement.losses, system.rng
        )
        poison_requests.on_pending = self._schedule_report
        self.context = forwarding.ForwardingContext(
            self.placement,
            forwarding.PermitCheckingClient(
                client, self.placement, poison_requests, loop.time
            ),
            self.budget,
            node.NullMetrics(),
            poison_requests,
            self.admission,
            name,
            system.permit_home,
            loop.time,
            retry_pool=forwarding.ControlRetryPool(
                self.budget,
                system.retry_homes,
                name,
                lambda: system.retry_homes.nodes,
                loop.time,
            ),
        )

    def _schedule_report(self) -> None:
        if not self.report_scheduled:
            self.report_scheduled = True
            asyncio.get_running_loop().call_later(
                LOAD_REPORT_DELAY_S, self._publish_report
            )

    def _publish_report(self) -> None:
        self.report_scheduled = False
        now = _workload.emulated_now()
        self.system.load_aggregator.add_report(self._load_report(now), now)
        for entry in self.system.entries:
            entry.apply_load_summary(now)

    def _load_report(self, now: float) -> messages.LoadReport:
        traffic = {
            service: attrs.evolve(
                service_traffic, waiting=self.admission.waiting[service]
            )
            for service, service_traffic in self.budget.traffic(now).items()
        }
        detector = self.context.poison_requests
        return attrs.evolve(
            self.placement.load_report(self.name, traffic, now),
            crashes=detector.take_pending(),
            blocks=detector.take_pending_blocks(now),
        )

    async def exchange_loads(self) -> None:
        """Report this entry's load and poll those of others, forever."""
        loop = asyncio.get_running_loop()
        report_at = loop.time() + REPORT_REFRESH_S * self.system.rng.random()
        await asyncio.sleep(POLL_S * self.system.rng.random())
        while True:
            now = loop.time()
            if now >= report_at:
                report_at = now + REPORT_REFRESH_S
                self.system.load_aggregator.add_report(
                    self._load_report(now), now
                )
            self.apply_load_summary(now)
            await asyncio.sleep(POLL_S)

    async def forward(
        self, job: forwarding.Job, caller: _workload.Caller
    ) -> None:
        """Forward a stream.

        :raises RequestError: if it is refused, or fails before its first
            event.
        """
        forwarding.refuse_blocked(self.context, job.fingerprint, job.service)
        job = await forwarding.resolve_resumption(self.context, job)
        await forwarding.StreamForwarder(self.context, job, caller).run()

    def apply_load_summary(self, now: float) -> None:
        """Apply the load reports of all other entries."""
        summary = self.system.load_aggregator.summary_for(
            self.name, self.summary_number, now
        )
        self.summary_number = summary.number
        self.placement.apply_loads(summary, now)
        self.placement.demands.limits.apply(summary.limits, now)
        self.budget.apply_loads(summary.traffic, now)
        waiting = {
            name: service_traffic.waiting
            for name, service_traffic in summary.traffic.items()
        }
        self.admission.apply_loads(waiting, now)
        detector = self.context.poison_requests
        detector.add_reports(summary.crashes, now)
        detector.add_blocks(summary.blocks, now)


class EntryGroup:
    """Entries in three data centres that exchange load reports."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        # The forwarding package uses the global random generator.
        random.seed(seed)
        self.load_aggregator = decisions.LoadAggregator()
        self.permit_home = PermitHome(self.rng)
        self.retry_homes = _HomeTransport(self.rng)
        self.entries: list[_Entry] = []

    def add_entries(
        self,
        count: int,
        make_client: cabc.Callable[[str], calls.BackendClient],
    ) -> None:
        """Create the entries.

        :param make_client: returns the backend client of the entry with the
            given name.
        """
        for number in range(count):
            name = f'e{number}'
            self.entries.append(
                _Entry(name, f'dc{number % 3}', self, make_client(name))
            )
        for entry in self.entries:
            entry.placement.reported_losses.entries = [
                other.name for other in self.entries
            ]
            entry.budget.update_entries(
                count, asyncio.get_running_loop().time()
            )


class System(EntryGroup):
    """Engines in three data centres and the entries that forward to them.

    :ivar sent_at: when callers sent requests, in order.
    """

    def __init__(
        self,
        profiles: cabc.Sequence[_engine.EngineProfile],
        entries: int,
        seed: int,
    ) -> None:
        super().__init__(seed)
        self.engines = {}
        for number, profile in enumerate(profiles):
            address = f'10.0.{number // 250}.{number % 250}:80'
            data_centre = f'dc{number % 3}'
            self.engines[address] = _engine.Engine(
                address, data_centre, profile, seed
            )
        self.lengths: dict[str, int] = {}
        self.sent_at: list[float] = []
        self.client = _client.EmulatedClient(self.engines, self.lengths)
        self.add_entries(entries, lambda name: self.client)
        self.outcomes: list[_workload.Outcome] = []
        kv_capacity = min(profile.kv_capacity for profile in profiles)
        for entry in self.entries:
            entry.placement.capacity = {_workload.SERVICE: kv_capacity}
        self.list_engines()
        for engine in self.engines.values():
            engine.start()

    def list_engines(self) -> None:
        """Update every entry's backend list with the current engines."""
        listed = [
            messages.ListedBackend(
                engine.ident,
                _workload.SERVICE,
                engine.address,
                engine.data_centre,
                engine.profile.slots,
                version=engine.version,
            )
            for engine in self.engines.values()
        ]
        for entry in self.entries:
            entry.placement.update(listed)

    async def fail_data_centre(
        self,
        name: str,
        start_s: float,
        duration_s: float,
        *,
        unreachable: bool,
    ) -> None:
        """Crash all engines of a data centre, then restart them.

        :param start_s: seconds until the crash.
        :param duration_s: seconds between the crash and the restart.
        :param unreachable: see :meth:`Engine.crash`.
        """
        await asyncio.sleep(start_s)
        crashed = [e for e in self.engines.values() if e.data_centre == name]
        for engine in crashed:
            engine.crash(unreachable=unreachable)
        await asyncio.sleep(duration_s)
        for engine in crashed:
            engine.restart()
        await asyncio.sleep(LIST_LAG_S)
        self.list_engines()

    async def simulate(
        self, workload: _workload.Workload
    ) -> list[_workload.Outcome]:
        """Generate a workload and return the outcome of each request."""
        monitors = [
            asyncio.ensure_future(
                forwarding.SilenceMonitor(entry.context).watch()
            )
            for entry in self.entries
        ]
        callers = []
        while _workload.emulated_now() < workload.duration_s:
            await asyncio.sleep(self.rng.expovariate(workload.streams_per_s))
            segment = f'p{len(callers)}'
            prompt_tokens = self._sample(
                workload.prompt_tokens, workload.relative_stddev
            )
            self.lengths[segment] = self._sample(
                workload.output_tokens, workload.relative_stddev
            )
            outcome = _workload.Outcome(_workload.emulated_now())
            self.outcomes.append(outcome)
            callers.append(
                asyncio.ensure_future(
                    self._run_caller(workload, segment, prompt_tokens, outcome)
                )
            )
        await asyncio.gather(*callers)
        for monitor in monitors:
            monitor.cancel()
        return self.outcomes

    def _sample(self, mean: int, relative_stddev: float) -> int:
        sample = self.rng.gauss(mean, relative_stddev * mean)
        return int(min(1.8 * mean, max(0.2 * mean, sample)))

    async def _run_caller(
        self,
        workload: _workload.Workload,
        segment: str,
        prompt_tokens: int,
        outcome: _workload.Outcome,
    ) -> None:
        for attempt in range(2):
            remaining_s = (
                outcome.arrived_at
                + workload.timeout_s
                - _workload.emulated_now()
            )
            try:
                await self._send_once(
                    workload,
                    f'{segment}-{attempt}',
                    segment,
                    prompt_tokens,
                    remaining_s,
                )
            except errors.RequestError as error:
                outcome.refused = error.ran is errors.Ran.NO
                if not outcome.refused:
                    return
                pause = error.retry_after or 0.0
                await asyncio.sleep(min(pause, remaining_s / 3))
            else:
                return

    async def _send_once(
        self,
        workload: _workload.Workload,
        ident: str,
        segment: str,
        prompt_tokens: int,
        remaining_s: float,
    ) -> None:
        outcome = self.outcomes[int(segment[1:])]
        entry = self.rng.choice(self.entries)
        prompt = calls.Prompt(
            prompt_tokens, workload.output_tokens, (segment,)
        )
        now = _workload.emulated_now()
        job = _workload.make_job(workload, ident, prompt, now, remaining_s)
        self.sent_at.append(now)
        entry.budget.count_request(_workload.SERVICE, now)
        stream_task = asyncio.ensure_future(
            entry.forward(job, _workload.Caller(outcome))
        )
        # Callers abandon a stream that has no first event, and any stream
        # at its deadline.
        await asyncio.wait(
            {stream_task},
            timeout=min(
                remaining_s,
                FIRST_EVENT_TIMEOUT_FACTOR * workload.target_latency_s,
            ),
        )
        if outcome.first_event_s is not None:
            await asyncio.wait(
                {stream_task},
                timeout=now + remaining_s - _workload.emulated_now(),
            )
        if not stream_task.done():
            stream_task.cancel()
            await asyncio.wait({stream_task})
            return
        stream_task.result()
