"""Simulates engines of two versions, and callers that resume streams."""

import asyncio
import typing as t

import attrs

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold.emulator import _engine
from bulrushhold.emulator import _system
from bulrushhold.emulator import _workload
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import ports

VERSIONS: t.Final = ('v1', 'v1.1')
MAX_TRIES: t.Final = 3


class OriginHomes(ports.Transport):
    """Control processes that keep origins, over an emulated network.

    :ivar lost: addresses of the processes that are down.
    """

    def __init__(self, count: int) -> None:
        self.nodes = [
            messages.ControlNode(f'10.1.0.{n}:70', f'dc{n % 3}', False)
            for n in range(count)
        ]
        self.stores = {n.address: decisions.OriginStore() for n in self.nodes}
        self.lost: set[str] = set()
        self.sent_bytes = 0

    def handle(self, kind: type, handler: ports.Handler) -> None:
        """Do nothing: no other process calls these."""

    def send(self, address: str, message: messages.Message) -> None:
        """Deliver a report after half a round trip, unless it is lost."""
        self.sent_bytes += len(messages.encode(message))
        asyncio.get_running_loop().call_later(
            _system.ROUND_TRIP_S / 2, self._record, address, message
        )

    def _record(self, address: str, report: messages.OriginReport) -> None:
        if address not in self.lost:
            store, now = self.stores[address], _workload.emulated_now()
            for origin in report.origins:
                store.record(origin, now)
            for pending in report.pending:
                store.record_pending(pending, now)

    async def request(
        self, address: str, message: messages.Message, timeout: float
    ) -> t.Any:
        """Look an origin up.

        :raises PeerError: after the timeout, if the process is lost.
        """
        if address in self.lost:
            await asyncio.sleep(timeout)
            raise errors.PeerError('no reply', 'OriginRead', address)
        await asyncio.sleep(_system.ROUND_TRIP_S)
        store = self.stores[address]
        return store.find(message.key, _workload.emulated_now())

    async def close(self) -> None:
        """Do nothing."""


@attrs.define
class ResumedOutcome:
    """What one caller got of one stream, over all its tries.

    :param versions: the version that each event names, in order.
    :param begun: the first try that reached a living entry brought an event.
    :param resumed: the first try after a broken one brought an event;
        ``None`` if there was none.
    """

    versions: list[str] = attrs.field(factory=list)
    begun: bool = False
    resumed: bool | None = None


class _Caller(_workload.Caller):
    """Notes versions, and breaks off after some events.

    :param break_after: number of events; 0 for never.
    """

    def __init__(self, outcome: ResumedOutcome, break_after: int) -> None:
        now = _workload.emulated_now()
        super().__init__(_workload.Outcome(now))
        self.result = outcome
        self.break_after = break_after
        self.broken = asyncio.Event()

    async def write(self, data: bytes) -> None:
        if self.broken.is_set():
            return
        for event in data.decode().strip().split('\n\n'):
            ident, _, version = event.partition('\ndata: ')
            expected = f'id: {len(self.result.versions) + 1}'
            assert ident == expected, f'{ident} instead of {expected}'
            self.result.versions.append(version)
        if len(self.result.versions) >= self.break_after > 0:
            self.broken.set()


class VersionSystem(_system.System):
    """Engines of which every second one has the newer version.

    :param control: number of control processes, on the first entries'
        instances.
    """

    def __init__(
        self,
        profiles: t.Sequence[_engine.EngineProfile],
        entries: int,
        seed: int,
        control: int,
    ) -> None:
        self.homes = OriginHomes(control)
        super().__init__(profiles, entries, seed)
        self.lost_entries: set[str] = set()
        self.calls: dict[str, set[asyncio.Task[None]]] = {}
        for number, engine in enumerate(self.engines.values()):
            engine.version = VERSIONS[number // 3 % 2]
        self.list_engines()
        for entry in self.entries:
            origins = forwarding.ControlOrigins(
                self.homes,
                lambda: self.homes.nodes,
                asyncio.get_running_loop().time,
            )
            entry.context = attrs.evolve(entry.context, origins=origins)

    def lose_instances(self, share: float) -> None:
        """Lose a share of the instances for good, with all their processes."""
        count = round(share * len(self.entries))
        for number in self.rng.sample(range(len(self.entries)), count):
            self.lost_entries.add(self.entries[number].name)
            if number < len(self.homes.nodes):
                self.homes.lost.add(self.homes.nodes[number].address)
        for name in self.lost_entries:
            for task in self.calls.get(name, set()).copy():
                task.cancel()

    async def resume_streams(
        self, workload: _workload.Workload, break_share: float
    ) -> list[ResumedOutcome]:
        """Return what callers get who break off and resume elsewhere.

        :param break_share: share of the callers that break their first try.
        """
        callers: list[asyncio.Task[ResumedOutcome]] = []
        while _workload.emulated_now() < workload.duration_s:
            await asyncio.sleep(self.rng.expovariate(workload.streams_per_s))
            events = workload.output_tokens // 4
            breaks = self.rng.random() < break_share
            break_after = self.rng.randint(1, events - 1) if breaks else 0
            segment = f'p{len(callers)}'
            self.lengths[segment] = workload.output_tokens
            caller = self._run_resuming_caller(workload, segment, break_after)
            callers.append(asyncio.ensure_future(caller))
        return await asyncio.gather(*callers)

    async def _run_resuming_caller(
        self, workload: _workload.Workload, segment: str, break_after: int
    ) -> ResumedOutcome:
        outcome = ResumedOutcome()
        first_ident = ''
        for number in range(MAX_TRIES):
            ident = f'{segment}-{number}'
            received = len(outcome.versions)
            complete = await self._try(
                workload,
                segment,
                ident,
                first_ident,
                _Caller(outcome, 0 if number else break_after),
            )
            brought_events = len(outcome.versions) > received
            if not received:
                outcome.begun = brought_events
                first_ident = ident
            elif outcome.resumed is None:
                outcome.resumed = brought_events
            if complete:
                break
        return outcome

    async def _try(
        self,
        workload: _workload.Workload,
        segment: str,
        ident: str,
        first_ident: str,
        caller: _Caller,
    ) -> bool:
        """Send one try; return whether the stream is complete."""
        living = [e for e in self.entries if e.name not in self.lost_entries]
        entry = self.rng.choice(living)
        received = len(caller.result.versions)
        prompt = calls.Prompt(
            workload.prompt_tokens, workload.output_tokens, (segment,)
        )
        now = _workload.emulated_now()
        job = _workload.make_job(
            workload, ident, prompt, now, workload.timeout_s
        )
        if received:
            call = attrs.evolve(
                job.call, last_event_id=received, resumes=first_ident
            )
            job = attrs.evolve(job, call=call)
        entry.budget.count_request(_workload.SERVICE, now)
        forwarding_task = asyncio.ensure_future(entry.forward(job, caller))
        tasks = self.calls.setdefault(entry.name, set())
        tasks.add(forwarding_task)
        broken = asyncio.ensure_future(caller.broken.wait())
        await asyncio.wait(
            {forwarding_task, broken},
            timeout=workload.timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        tasks.discard(forwarding_task)
        for task in (forwarding_task, broken):
            task.cancel()
        results = await asyncio.gather(
            forwarding_task, broken, return_exceptions=True
        )
        return results[0] is None and caller.outcome.completed
