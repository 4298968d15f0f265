"""Streams a generation to a caller as server-sent events."""

import asyncio
import time
import typing as t

from aiohttp import web
import msgspec

from bulrushhold.entry import _generation

KEEP_ALIVE_INTERVAL_S: t.Final = 0.5
_KEEP_ALIVE: t.Final = b': quiet\n\n'
_DONE: t.Final = b'data: [DONE]\n\n'
_encode = msgspec.json.encode


class CallerStream:
    """Sends tokens as they become visible.

    While the write buffer is empty, tokens are written directly from the
    call that makes them visible, which saves a task switch per token. If
    the caller reads too slowly, the handler's task writes with flow
    control.

    :param received: number of tokens that the caller already has.
    """

    def __init__(
        self,
        generation: _generation.Generation,
        response: web.StreamResponse,
        received: int,
    ) -> None:
        self.generation = generation
        self.response = response
        self.sent = received
        self.wakeup = asyncio.Event()
        self.sent_at = time.monotonic()
        self.timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None

    async def run(self, transport: asyncio.Transport | None) -> None:
        """Write events up to the final ``[DONE]`` or error event.

        :raises ConnectionResetError: if the caller has disconnected.
        """
        self.transport = transport
        self.generation.listeners.append(self._on_progress)
        self._check_keep_alive()
        try:
            while not self.generation.ended:
                await self._flush()
                await self._wait()
            await self._flush()
        finally:
            if self.timer is not None:
                self.timer.cancel()
            self.generation.listeners.remove(self._on_progress)
        await self.response.write(_final_events(self.generation))
        await self.response.write_eof()

    async def _wait(self) -> None:
        """Wait for more to write, and send keep-alive comments.

        Without them a caller couldn't tell a frozen entry from a slow
        engine.
        """
        await self.wakeup.wait()
        self.wakeup.clear()
        if (
            self._idle_s() >= KEEP_ALIVE_INTERVAL_S
            and not self.generation.ended
        ):
            self.sent_at = time.monotonic()
            await self.response.write(_KEEP_ALIVE)

    def _idle_s(self) -> float:
        return time.monotonic() - self.sent_at

    def _check_keep_alive(self) -> None:
        """Wake the task when a keep-alive comment is due."""
        remaining = KEEP_ALIVE_INTERVAL_S - self._idle_s()
        if remaining <= 0:
            self.wakeup.set()
            remaining = KEEP_ALIVE_INTERVAL_S
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(
            max(0.01, remaining), self._check_keep_alive
        )

    def _on_progress(self) -> None:
        transport = self.transport
        if (
            transport is None
            or transport.is_closing()
            or transport.get_write_buffer_size()
            or self.generation.ended
        ):
            self.wakeup.set()
            return
        data = self._take_events()
        if not data:
            return
        try:
            # With an empty buffer this write completes without suspending.
            self.response.write(data).send(None)
        except StopIteration:
            return
        except ConnectionError:
            self.wakeup.set()

    async def _flush(self) -> None:
        while data := self._take_events():
            await self.response.write(data)

    def _take_events(self) -> bytes:
        """Return events for the tokens that are visible but not yet sent."""
        start, self.sent = self.sent, max(self.sent, self.generation.visible)
        self.sent_at = time.monotonic()
        return _events(self.generation.transcript.tokens, start, self.sent)


def _events(tokens: list[str], start: int, stop: int) -> bytes:
    """Encode tokens as server-sent events with their offset as the id."""
    events = []
    for offset in range(start, stop):
        delta = _encode(tokens[offset])
        events.append(
            b'id: %d\ndata: {"choices":[{"index":0,"delta":{"content":%b}}]}'
            b'\n\n' % (offset, delta)
        )
    return b''.join(events)


def _final_events(generation: _generation.Generation) -> bytes:
    """Encode the finish reason and ``[DONE]``, or an error event."""
    if generation.error is not None:
        return b'event: error\ndata: %b\n\n' % _encode(generation.error.body())
    finish = _encode(generation.transcript.finish)
    return (
        b'data: {"choices":[{"index":0,"delta":{},"finish_reason":%b}]}\n\n'
        % finish
    ) + _DONE
