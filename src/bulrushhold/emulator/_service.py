"""Simulates a plain service whose servers make demands of entries."""

import asyncio
import random
import typing as t

import attrs

from bulrushhold import calls
from bulrushhold.emulator import _system
from bulrushhold.emulator import _workload
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import routes

ONE_WAY_DELAY_S: t.Final = 0.002
# Time that an entry has to act on a demand.
REACTION_S: t.Final = 0.5


@attrs.frozen
class Arrival:
    """A request that reached a server, from an entry.

    :param request: id of the caller's request.
    """

    at: float
    entry: str
    request: str = ''


@attrs.define(eq=False)
class PlainServer:
    """A server of a plain service.

    :param latency_s: time that it takes to respond.
    :param limit: request limit that its responses name.
    :param leaving: whether its responses say that it is shutting down.
    :param backoff_s: if set, it turns requests away with this demand.
    :param slots: requests that it runs at once; ``None`` for any number.
    :param queue: requests that wait for a slot; others are rejected.
    :param fault: ``reject`` (all requests), ``fail`` (responds with status
        500), ``break`` (closes the connection instead of a response) or
        ``''``.
    :param held: requests that run or wait.
    :param arrivals: all requests that it received.
    :param backoffs: each demand, with entry, begin and end.
    :param leaving_relayed_at: by entry, when it first relayed a response that
        says the server is shutting down.
    """

    ident: str
    address: str
    data_centre: str
    latency_s: float = 0.09
    limit: float | None = None
    leaving: bool = False
    leaving_relayed_at: dict[str, float] = attrs.field(factory=dict)
    backoff_s: float | None = None
    slots: int | None = None
    queue: int = 0
    fault: str = ''
    held: int = 0
    free: asyncio.Semaphore = attrs.field(init=False)
    backoffs: list[tuple[str, float, float]] = attrs.field(factory=list)
    arrivals: list[Arrival] = attrs.field(factory=list)

    @free.default
    def _make_free(self) -> asyncio.Semaphore:
        return asyncio.Semaphore(self.slots or 1)

    @property
    def rejects(self) -> bool:
        """Whether it has no room for another request."""
        is_full = (
            self.slots is not None and self.held >= self.slots + self.queue
        )
        return self.fault == 'reject' or is_full

    async def work(self) -> None:
        """Run one request, in a slot if their number is limited."""
        self.held += 1
        try:
            if self.slots is None:
                await asyncio.sleep(self.latency_s)
                return
            async with self.free:
                await asyncio.sleep(self.latency_s)
        finally:
            self.held -= 1

    def count_after_leaving(self, drain_s: float) -> int:
        """Return the arrivals from entries that knew it was shutting down.

        :param drain_s: requests that arrive within this time are left out.
        """
        relayed_at = self.leaving_relayed_at
        return sum(
            arrival.at > relayed_at.get(arrival.entry, float('inf')) + drain_s
            for arrival in self.arrivals
        )

    def most_in_a_backoff(self) -> int:
        """Return the most arrivals from one entry during one demand.

        They count from half a second after the demand.
        """
        return max(
            (
                sum(
                    arrival.entry == entry
                    and begin + REACTION_S <= arrival.at < end
                    for arrival in self.arrivals
                )
                for entry, begin, end in self.backoffs
            ),
            default=0,
        )

    def highest_count(self, since: float, window_s: float) -> int:
        """Return the highest number of arrivals in any window.

        :param since: windows that begin earlier are left out.
        """
        times = [a.at for a in self.arrivals if a.at >= since]
        return max(
            (sum(t <= u < t + window_s for u in times) for t in times),
            default=0,
        )


@attrs.frozen
class PlainOutcome:
    """Result of one caller's request.

    :param error: the refusal or failure; ``None`` if it was served.
    """

    arrived_at: float
    ended_at: float
    error: errors.RequestError | None


class _Response(calls.BackendResponse):
    def __init__(self, head: calls.ResponseHead) -> None:
        self.head = head

    async def chunk(self) -> bytes:
        return b''

    async def body(self) -> bytes:
        return b'done'

    def close(self) -> None:
        pass


class _ServiceClient(calls.BackendClient):
    """The connections of one entry to the servers."""

    def __init__(self, entry: str, servers: dict[str, PlainServer]) -> None:
        self.entry = entry
        self.servers = servers

    async def send(
        self, call: calls.Call, attempt: calls.Attempt
    ) -> calls.BackendResponse:
        """Send a call and return its response."""
        server = self.servers[attempt.address]
        await asyncio.sleep(ONE_WAY_DELAY_S)
        server.arrivals.append(
            Arrival(_workload.emulated_now(), self.entry, call.ident)
        )
        if server.backoff_s is not None:
            return await self._turn_away(server, server.backoff_s)
        if server.fault == 'break':
            raise errors.BackendError('reset', 'answer', server.address)
        if server.fault == 'fail':
            await asyncio.sleep(ONE_WAY_DELAY_S)
            return _Response(calls.ResponseHead(500, (), True, True, False))
        if server.rejects:
            await asyncio.sleep(ONE_WAY_DELAY_S)
            return _Response(calls.ResponseHead(503, (), True, True, True))
        await server.work()
        limit, leaving = server.limit, server.leaving
        await asyncio.sleep(ONE_WAY_DELAY_S)
        if leaving:
            now = _workload.emulated_now()
            server.leaving_relayed_at.setdefault(self.entry, now)
        return _Response(
            calls.ResponseHead(
                200,
                (),
                True,
                True,
                False,
                limit=None if limit is None else calls.RequestLimit(limit),
                leaving=leaving,
            )
        )

    async def _turn_away(
        self, server: PlainServer, seconds: float
    ) -> calls.BackendResponse:
        now = _workload.emulated_now()
        server.backoffs.append((self.entry, now, now + seconds))
        await asyncio.sleep(ONE_WAY_DELAY_S)
        head = calls.ResponseHead(
            503, (), True, True, True, backoff=calls.Backoff(seconds)
        )
        return _Response(head)

    async def probe(
        self, address: str, timeout: float, instance: str = ''
    ) -> bool:
        """Return that the server is up."""
        return True

    async def accepts_connections(self, address: str, timeout: float) -> bool:
        """Return that the server is up."""
        return True

    async def has_ended(
        self, address: str, timeout: float, instance: str = ''
    ) -> bool:
        """Return that the server is up."""
        return False

    async def cached_segments(
        self, address: str, timeout: float
    ) -> frozenset[str]:
        """Return no segments: plain servers have no prompt cache."""
        return frozenset()

    async def copy_run(
        self, call: calls.Call, source: str, target: str, timeout: float
    ) -> calls.RunCopy:
        """Fail: plain servers hold no copies."""
        raise errors.BackendError('no copies', 'copy', source)

    async def drop_copy(self, copy: calls.RunCopy, timeout: float) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""


class ServiceSystem(_system.EntryGroup):
    """A plain service in three data centres, and its entries.

    :param options: of each :class:`PlainServer`.
    :ivar sent_at: when callers sent requests, in order.
    """

    def __init__(
        self, servers: int, entries: int, seed: int, **options: t.Any
    ) -> None:
        super().__init__(seed)
        self.sent_at: list[float] = []
        self.servers = [
            PlainServer(f's{n}', f'10.0.0.{n}:80', f'dc{n % 3}', **options)
            for n in range(servers)
        ]
        by_address = {server.address: server for server in self.servers}
        self.add_entries(entries, lambda n: _ServiceClient(n, by_address))
        for entry in self.entries:
            entry.placement.update(
                [
                    messages.ListedBackend(
                        server.ident,
                        _workload.SERVICE,
                        server.address,
                        server.data_centre,
                        64,
                    )
                    for server in self.servers
                ]
            )

    async def simulate(
        self,
        requests_per_s: float,
        duration_s: float,
        *,
        entries: int | None = None,
        kind: routes.Kind = routes.Kind.ONCE,
        timeout_s: float = 3.0,
        exchange_loads: bool = False,
    ) -> list[PlainOutcome]:
        """Send requests and return their outcomes, in order of their ends.

        :param entries: number of entries that receive requests; all if
            ``None``.
        :param exchange_loads: whether entries exchange unchanged loads, too.
        """
        targets = self.entries[:entries]
        exchanges = [
            asyncio.ensure_future(entry.exchange_loads())
            for entry in self.entries
            if exchange_loads
        ]
        ends_at = _workload.emulated_now() + duration_s
        outcomes: list[PlainOutcome] = []
        callers = []
        while _workload.emulated_now() < ends_at:
            await asyncio.sleep(self.rng.expovariate(requests_per_s))
            callers.append(
                asyncio.ensure_future(
                    self._send(
                        self.rng.choice(targets), kind, timeout_s, outcomes
                    )
                )
            )
        await asyncio.gather(*callers)
        for exchange in exchanges:
            exchange.cancel()
        return outcomes

    async def _send(
        self,
        entry: t.Any,
        kind: routes.Kind,
        timeout_s: float,
        outcomes: list[PlainOutcome],
    ) -> None:
        now = _workload.emulated_now()
        self.sent_at.append(now)
        entry.budget.count_request(_workload.SERVICE, now)
        job = _make_job(self.rng, kind, now, timeout_s)
        error = None
        try:
            await forwarding.PlainForwarder(entry.context, job).run()
        except errors.RequestError as failure:
            error = failure
        outcomes.append(PlainOutcome(now, _workload.emulated_now(), error))


def _make_job(
    rng: random.Random, kind: routes.Kind, now: float, timeout_s: float
) -> forwarding.Job:
    call = calls.Call(
        f'{rng.getrandbits(64):x}', 'POST', '/a/', 'h', 'k', (), b'', timeout_s
    )
    route = routes.Route(
        'r',
        'h',
        '/a/',
        kind,
        [routes.Target(_workload.SERVICE, 1.0)],
        timeout_s,
        timeout_s / 8,
        max_attempts=5,
    )
    return forwarding.Job(call, route, _workload.SERVICE, 'a', now + timeout_s)
