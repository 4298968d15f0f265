"""The events of one engine, on to the caller, until it is lost."""

import asyncio
import contextlib
import typing as t

import attrs

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold.forwarding import _events
from bulrushhold.forwarding import _liveness
from bulrushhold.forwarding import _parts

if t.TYPE_CHECKING:
    from bulrushhold.forwarding import _streams

# While a prompt is read, its engine is asked so often whether it lives.
FIRST_ASK_S: t.Final = 0.5
# Pauses between events are learnt in batches: several times a second.
LEARN_S: t.Final = 0.2
# Standard deviations above the mean pause, within which pauses mostly and
# nearly always are (the latter as in RFC 6298).
COMMON: t.Final = 1.5
USUAL: t.Final = 4.0
# Engines drop a copy made by order when it hasn't grown for this long.
COPY_KEPT_S: t.Final = 4.0
# Renewed often enough to outlive one order that fails. What the run made since
# the last one is read again.
RENEW_S: t.Final = 1.5
NO_SIGN_OF_LIFE: t.Final = 'silent, and gives no sign of life'


@attrs.define(slots=False)
class StreamLostError(errors.EngineLostError):
    """An engine is lost to a stream, which may go on elsewhere.

    :param sent: the request may have reached the engine.
    :param gone: it is dead or out of reach, not merely at fault.
    :param reset: it broke the connection; dead engines do, and living ones
        that are at fault.
    :param seconds: since the stream was placed there.
    :param last_before: number of the caller's last event at that time.
    """

    sent: bool = True
    gone: bool = True
    reset: bool = False
    seconds: float = 0.0
    last_before: int | None = None


def _close_answer(sending: 'asyncio.Future[calls.BackendAnswer]') -> None:
    """Close what an abandoned sending brought, if anything.

    Without this the engine would go on with the run until the connection
    is garbage collected.
    """
    if not sending.cancelled() and sending.exception() is None:
        sending.result().close()


class Flow:
    """The events of one engine, on to the caller."""

    def __init__(
        self,
        run: '_streams.StreamRun',
        engine: decisions.Placed,
        copy: calls.RunCopy | None,
        backup: decisions.Placed | None,
        reading: int,
    ) -> None:
        self.stream = run
        self.context = run.context
        self.engine = engine
        self.copy = copy
        self.backup = backup
        self.reading = reading
        self.answer: calls.BackendAnswer | None = None
        self.sending: asyncio.Future[calls.BackendAnswer] | None = None
        self.spoke = False
        self.renewal: asyncio.Task[None] | None = None
        self.speeds = run.context.placement.speeds
        self.begun = run.context.clock()
        self.unread: decisions.Reading | None = None
        self.here_s = 0.0
        self.learnt_at = self.shown_at = self.begun
        self.patience = self._look_at_pauses()
        self.pauses = decisions.Pauses(self.patience.usual_pause_s)

    async def run(self) -> calls.Reply | None:
        answer = await self._open()
        head = answer.head
        _parts.learn(self.context, self.engine.ident, head)
        if head.not_run:
            if head.status == 421:
                self.context.placement.replaced(self.engine.ident)
            raise StreamLostError(
                f'refused with {head.status}', sent=False, gone=False
            )
        if not head.own or not head.genuine:
            raise StreamLostError('a foreign answer', gone=False)
        if head.status >= 300:
            return await self._failure(answer)
        await self._relay(answer)
        now = self.context.clock()
        self.context.placement.succeeded(self.engine.ident, now, None)
        if self.copy is None and self.stream.job.call.after is None:
            self.speeds.ran(self.stream.job.service, now - self.begun, now)
        self.close()
        await self.drop_copy()
        return None

    def close(self) -> None:
        """Leave the engine; it stops working on the stream."""
        if self.unread is not None:
            self.speeds.forget(self.unread)
        if self.sending is not None:
            self._abandon(self.sending)
        if self.renewal is not None:
            self.renewal.cancel()

    def _abandon(self, sending: 'asyncio.Future[calls.BackendAnswer]') -> None:
        if sending.done():
            _close_answer(sending)
            return
        sending.cancel()
        sending.add_done_callback(_close_answer)

    async def drop_copy(self) -> None:
        """Free the copy that was ordered, once the stream is whole.

        Engines free it themselves, but only seconds later, and until then
        the memory of a whole prompt is missing there.
        """
        copy = self.stream.copy
        if copy is not None:
            self.stream.copy = None
            await self.context.client.drop_copy(copy, RENEW_S)

    async def _open(self) -> calls.BackendAnswer:
        attempt = calls.Attempt(
            self.engine.address,
            self.engine.ident,
            self.stream.job.account,
            self.stream.left(),
            after=self.stream.last,
            backup=self.backup.address if self.backup else '',
            copy=self.copy,
            # A kept connection that the engine closes meanwhile would look
            # like a crash; a new one costs a ms of a stream of seconds.
            fresh=True,
        )
        self.sending = asyncio.ensure_future(
            self.context.client.send(self.stream.job.call, attempt)
        )
        self._expect_first()
        silence = _liveness.SilenceTimer(self.context.clock)
        while not self.sending.done():
            with silence.measure(FIRST_ASK_S):
                await asyncio.wait({self.sending}, timeout=FIRST_ASK_S)
            if self.sending.done():
                break
            self._check_first(silence)
            alive = await self._is_alive(silence)
            if not alive and not self.sending.done():
                raise StreamLostError(NO_SIGN_OF_LIFE)
        try:
            self.answer = self.sending.result()
        except errors.BackendError as error:
            sent = error.step != 'connect'
            raise StreamLostError(str(error), sent=sent, reset=sent) from error
        return self.answer

    def _expect_first(self) -> None:
        """Take down when the first event is expected."""
        if not self.reading or self.stream.job.call.after is not None:
            # What a caller comes back for may be in memory: no measure.
            return
        now = self.context.clock()
        tokens = self.engine.reading + self.engine.others.reading
        service = self.stream.job.service
        self.unread = self.speeds.reads(
            service, self.engine.ident, tokens, now
        )
        token_s = self.speeds.token_s(service, self.stream.wanted, now)
        self.here_s = tokens * token_s

    def _check_first(self, silence: _liveness.SilenceTimer) -> None:
        waited = silence.seconds
        if self.stream.left() <= 0:
            raise StreamLostError('no event in time', gone=False)
        elsewhere_s = self.stream.estimate_capacity(self.engine.ident).first_s
        if waited > decisions.leave_unread_s(self.here_s, elsewhere_s):
            raise StreamLostError(f'no event for {waited:.2f} s', gone=False)

    async def _is_alive(self, silence: _liveness.SilenceTimer) -> bool:
        with silence.measure(_liveness.PROBE_TIMEOUT_S):
            return await _liveness.is_alive(
                self.context.client, self.engine.address
            )

    async def _failure(self, answer: calls.BackendAnswer) -> calls.Reply:
        try:
            body = await answer.body()
        except errors.BackendError as error:
            raise StreamLostError(str(error), gone=False) from error
        head = answer.head
        reply = calls.Reply(head.status, head.headers, body)
        if head.status < 500 or not self.stream.job.route.repeatable:
            return reply
        self.stream.failed = reply
        raise StreamLostError(f'failed with {head.status}', gone=False)

    async def _relay(self, answer: calls.BackendAnswer) -> None:
        splitter = _events.EventSplitter()
        while True:
            chunk = await self._chunk(answer)
            if not chunk:
                break
            try:
                events = splitter.feed(chunk)
            except errors.BackendError as error:
                raise StreamLostError(str(error), gone=False) from error
            await self._show_next(answer, events)
            self._look_after_copy()
        if splitter.rest:
            raise StreamLostError(
                'ended in the middle of an event', gone=False
            )
        if not self.stream.out.begun:
            await self.stream.out.begin(
                answer.head.status, answer.head.headers
            )
        await self.stream.out.end()

    def _look_after_copy(self) -> None:
        """Have a copy made where there is none, or none any more.

        Engines fail a data centre at a time: those that hold the copies go
        first as often as those that run the streams, and a stream without a
        copy would have its whole prompt read again.
        """
        if self.renewal is None and not self._has_copy():
            self.renewal = asyncio.ensure_future(self._renew_copy())

    def _has_copy(self) -> bool:
        return self.backup is not None and self._is_kept(self.backup)

    def _is_kept(self, backup: decisions.Placed) -> bool:
        since = self.stream.backup_since
        return self.context.placement.keeps_copy(backup, since)

    async def _renew_copy(self) -> None:
        stream = self.stream
        while True:
            target = stream.choose_backup(self.engine)
            if target is None:
                await asyncio.sleep(RENEW_S)
                continue
            self._keep_copy_at(target)
            made_at = float('-inf')
            while self._is_kept(target):
                now = self.context.clock()
                try:
                    stream.copy = await self.context.client.copy_run(
                        stream.job.call,
                        self.engine.address,
                        target.address,
                        RENEW_S,
                    )
                except errors.BackendError as error:
                    # Mostly the run's own engine is being lost: the copy made
                    # last is what its stream goes on from.
                    _parts.log(
                        stream.job, 'copy not renewed', reason=str(error)
                    )
                    await asyncio.sleep(RENEW_S)
                    if now - made_at > COPY_KEPT_S:
                        break
                    continue
                stream.backup = target
                made_at = now
                await asyncio.sleep(RENEW_S)

    def _keep_copy_at(self, target: decisions.Placed) -> None:
        stream = self.stream
        stream.backup = stream.copy = None
        stream.backup_since = self.context.clock()
        if self.backup is not None:
            self.backup.memory -= stream.memory
        target.memory += stream.memory
        self.backup = target
        _parts.log(stream.job, 'copy renewed', at=target.ident)

    async def _show_next(
        self, answer: calls.BackendAnswer, events: list[_events.Event]
    ) -> None:
        """Show the events that go on where the caller's stream stands."""
        data = b''
        gap = ''
        for event in events:
            last = self.stream.last
            if event.number is not None and last is not None:
                if event.number <= last:
                    continue
                if event.number != last + 1:
                    gap = f'event {event.number} after {last}'
                    break
            if event.number is not None:
                self.stream.last = event.number
            data += event.data
        if data:
            await self._show(answer, data)
        if gap:
            raise StreamLostError(gap, gone=False)

    async def _show(self, answer: calls.BackendAnswer, data: bytes) -> None:
        now = self.context.clock()
        if self.spoke:
            self.pauses.add(now - self.shown_at)
            if now - self.learnt_at > LEARN_S:
                self._learn_pauses(now)
        self.shown_at = now
        if not self.spoke:
            self.spoke = True
            if self.unread is not None:
                self.speeds.read(self.unread, self.stream.wanted, now)
            self.context.placement.has_read(self.engine, self.reading)
            self.reading = 0
            self.stream.took(self.engine.ident)
            self.context.placement.read(
                self.stream.part, self.engine.ident, now
            )
        out = self.stream.out
        if not out.begun:
            await out.begin(answer.head.status, answer.head.headers)
        self.stream.shows()
        await out.write(data)

    async def _chunk(self, answer: calls.BackendAnswer) -> bytes:
        silence = _liveness.SilenceTimer(self.context.clock)
        while True:
            ask = self.patience.ask_after_s if self.spoke else FIRST_ASK_S
            with contextlib.suppress(TimeoutError), silence.measure(ask):
                async with asyncio.timeout(ask):
                    return await self._read(answer)
            if self.spoke:
                self._check_silence(silence)
            else:
                self._check_first(silence)
            if not await self._is_alive(silence):
                return await self._read_at_once(answer)

    def _check_silence(self, silence: _liveness.SilenceTimer) -> None:
        silent = silence.seconds
        if silent > self._most_silent_s() or self.stream.left() <= 0:
            raise StreamLostError(f'silent for {silent:.2f} s', gone=False)

    async def _read_at_once(self, answer: calls.BackendAnswer) -> bytes:
        """Return what came while the engine was asked for a sign of life."""
        try:
            async with asyncio.timeout(0):
                return await self._read(answer)
        except TimeoutError:
            raise StreamLostError(NO_SIGN_OF_LIFE) from None

    def _most_silent_s(self) -> float:
        if self._has_copy():
            return self.patience.leave_with_copy_s()
        elsewhere_s = self.stream.estimate_capacity(self.engine.ident).first_s
        return self.patience.leave_without_copy_s(elsewhere_s)

    def _learn_pauses(self, now: float) -> None:
        self.speeds.paused(self.stream.job.service, self.pauses, now)
        self.learnt_at = now
        self.patience = self._look_at_pauses()
        self.pauses = decisions.Pauses(self.patience.usual_pause_s)

    def _look_at_pauses(self) -> decisions.Patience:
        wanted = self.stream.wanted
        common, usual = (
            self.speeds.pause_s(
                self.stream.job.service,
                wanted,
                self.context.clock(),
                deviations,
            )
            for deviations in (COMMON, USUAL)
        )
        return decisions.Patience(
            common, usual, wanted.gap_s, _liveness.PROBE_TIMEOUT_S
        )

    async def _read(self, answer: calls.BackendAnswer) -> bytes:
        try:
            return await answer.chunk()
        except errors.BackendError as error:
            raise StreamLostError(str(error), reset=True) from error
