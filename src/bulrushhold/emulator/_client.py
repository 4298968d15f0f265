"""A backend client that calls emulated engines in process."""

import asyncio
import typing as t

import attrs

from bulrushhold import calls
from bulrushhold.emulator import _engine
from bulrushhold import errors

ONE_WAY_DELAY_S: t.Final = 0.002
CONNECT_TIMEOUT_S: t.Final = 0.25


@attrs.frozen
class Arrival:
    """A request that reached an engine.

    :param segment: last segment of its prompt.
    :param request: id of the caller's request.
    """

    at: float
    segment: str
    engine: str
    request: str


class _Response(calls.BackendResponse):
    def __init__(
        self,
        engine: _engine.Engine,
        run: _engine.Run | None,
        head: calls.ResponseHead,
        first_event: int | None = None,
    ) -> None:
        self.engine = engine
        self.run = run
        self.head = head
        self.first_event = first_event

    async def chunk(self) -> bytes:
        assert self.run is not None
        event: t.Any = self.first_event
        self.first_event = None
        if event is None:
            event = await self.run.events.get()
        if isinstance(event, errors.BackendError):
            raise event
        if event is None:
            return b''
        return f'id: {event}\ndata: {self.engine.version}\n\n'.encode()

    async def body(self) -> bytes:
        return b''

    def close(self) -> None:
        if self.run is not None:
            self.engine.cancel(self.run)


class EmulatedClient(calls.BackendClient):
    """Backend client that looks engines up by address, without a network.

    :param lengths: response length in tokens, by prompt segment.
    :ivar arrivals: all requests that reached an engine.
    """

    def __init__(
        self, engines: dict[str, _engine.Engine], lengths: dict[str, int]
    ) -> None:
        self.engines = engines
        self.lengths = lengths
        self.arrivals: list[Arrival] = []

    async def send(
        self, call: calls.Call, attempt: calls.Attempt
    ) -> calls.BackendResponse:
        """Send a call and return its response."""
        engine = self.engines[attempt.address]
        await self._connect(engine, 'connect')
        await engine.wait_until_running()
        if not engine.up:
            raise errors.BackendError('reset', 'send', attempt.address)
        assert call.prompt is not None
        self.arrivals.append(
            Arrival(
                engine.now,
                call.prompt.segments[-1],
                engine.ident,
                call.ident,
            )
        )
        if engine.ident != attempt.instance:
            return _refusal(engine, 421)
        run = self._run(engine, call, attempt)
        if run is None:
            return _refusal(engine, 503)
        engine.enqueue(run)
        try:
            first_event = await run.events.get()
        except asyncio.CancelledError:
            engine.cancel(run)
            raise
        if isinstance(first_event, errors.BackendError):
            raise errors.BackendError('reset', 'send', attempt.address)
        head = calls.ResponseHead(
            200, (), True, True, False, load=engine.load()
        )
        return _Response(engine, run, head, first_event)

    def _run(
        self,
        engine: _engine.Engine,
        call: calls.Call,
        attempt: calls.Attempt,
    ) -> _engine.Run | None:
        assert call.prompt is not None
        segment = call.prompt.segments[-1]
        generated = (
            call.last_event_id
            if attempt.last_event_id is None
            else attempt.last_event_id
        ) or 0
        generated *= engine.profile.tokens_per_event
        tokens = call.prompt.tokens + generated
        unread_tokens = tokens - engine.cached_segments.get(segment, 0)
        if attempt.copy is not None:
            copy = engine.copies.pop(attempt.copy.name or call.ident, None)
            if copy is None:
                return None
            unread_tokens = tokens - copy.tokens
        return _engine.Run(
            call.ident,
            segment,
            call.prompt.tokens,
            self.lengths[segment],
            max(0, unread_tokens),
            generated,
            self.engines.get(attempt.backup),
            asyncio.Queue(),
            attempt.copy is not None,
        )

    async def _connect(self, engine: _engine.Engine, step: str) -> None:
        if not engine.up and engine.unreachable:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise errors.BackendError('no answer', step, engine.address)
        await asyncio.sleep(2 * ONE_WAY_DELAY_S)
        if not engine.up:
            raise errors.BackendError('refused', step, engine.address)

    async def _request(
        self, engine: _engine.Engine, step: str, timeout: float
    ) -> None:
        await self._connect(engine, step)
        if not await self._answers(engine, timeout):
            raise errors.BackendError('no answer', step, engine.address)

    async def probe(
        self, address: str, timeout: float, instance: str = ''
    ) -> bool:
        """Return whether an engine is up, and is the expected incarnation."""
        engine = self.engines[address]
        if not engine.up and engine.unreachable:
            await asyncio.sleep(timeout)
        await asyncio.sleep(2 * ONE_WAY_DELAY_S)
        if not await self._answers(engine, timeout):
            return False
        return engine.up and instance in ('', engine.ident)

    async def _answers(self, engine: _engine.Engine, timeout: float) -> bool:
        """Return whether a silent engine goes on within some seconds."""
        silent_s = engine.silent_until - engine.now
        if silent_s > 0.0:
            await asyncio.sleep(min(silent_s, timeout))
        return silent_s < timeout

    async def accepts_connections(self, address: str, timeout: float) -> bool:
        """Return whether an engine is up; silent ones accept connections."""
        engine = self.engines[address]
        if not engine.up and engine.unreachable:
            await asyncio.sleep(timeout)
        await asyncio.sleep(2 * ONE_WAY_DELAY_S)
        return engine.up

    async def has_ended(
        self, address: str, timeout: float, instance: str = ''
    ) -> bool:
        """Return whether an engine refuses connections or has restarted."""
        engine = self.engines[address]
        if not engine.up and engine.unreachable:
            await asyncio.sleep(timeout)
            return False
        await asyncio.sleep(2 * ONE_WAY_DELAY_S)
        if not await self._answers(engine, timeout):
            return False
        return not engine.up or instance not in ('', engine.ident)

    async def cached_segments(
        self, address: str, timeout: float
    ) -> frozenset[str]:
        """Return the prompt segments in an engine's prefix cache."""
        engine = self.engines[address]
        await self._request(engine, 'segments', timeout)
        return frozenset(engine.cached_segments)

    async def copy_run(
        self, call: calls.Call, source: str, target: str, timeout: float
    ) -> calls.RunCopy:
        """Copy a run's KV cache to another engine."""
        engine = self.engines[source]
        await self._request(engine, 'copy', timeout)
        run = next((r for r in engine.running if r.ident == call.ident), None)
        name = f'{call.ident}@{target}'
        if run is None or not self.engines[target].store_copy(
            name, run.kv_tokens
        ):
            raise errors.BackendError('no copy', 'copy', source)
        return calls.RunCopy(source, name)

    async def drop_copy(self, copy: calls.RunCopy, timeout: float) -> None:
        """Discard a KV cache copy on every engine."""
        for engine in self.engines.values():
            engine.copies.pop(copy.name, None)

    async def close(self) -> None:
        """Do nothing: the emulator holds no connections."""


def _refusal(engine: _engine.Engine, status: int) -> _Response:
    head = calls.ResponseHead(status, (), True, True, True)
    return _Response(engine, None, head)
