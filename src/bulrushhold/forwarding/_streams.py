"""Runs a stream of events, across the losses of engines."""

import asyncio
import contextlib
import typing as t

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold.forwarding import _events
from bulrushhold.forwarding import _parts

# Silence in mid-stream after which the engine is asked whether it lives. Its
# events are 20 to 60 ms apart; other prompts read in between stretch that.
ASK_AFTER_S: t.Final = 0.15
# An engine that lives answers within 10 ms, whatever it is busy with.
ASK_S: t.Final = 0.12
# Asked once more: on a link that loses one packet in 25, a fifth of the first
# answers come too late, and a living engine would be given up by all entries.
ASKED: t.Final = 2
# An engine that lives, but leaves a stream silent for this long, is slower
# than going on elsewhere: a continuation from a copy takes 0.1 s.
SILENT_S: t.Final = 0.6
# Before its first event a stream waits for its prompt to be read, 1 s for
# 8,000 tokens, and for those before it.
FIRST_ASK_S: t.Final = 0.5
FIRST_LEAST_S: t.Final = 3.0
FIRST_FACTOR: t.Final = 3.0
# An engine sends its run's memory to the backup several times a second.
COPY_AFTER_S: t.Final = 0.3
# A copy made by order is dropped when it hasn't grown for 4 s; what the run
# made since is read again, some 200 tokens in 1.5 s.
RENEW_S: t.Final = 1.5
READ_S_PER_TOKEN: t.Final = 1 / 8000
# All engines are full or away: places come free several times a second.
PAUSE_S: t.Final = 0.05
LEAST_LEFT_S: t.Final = 0.05


class _Lost(Exception):
    """An engine is lost to this stream; the reason is its text.

    :param sent: the request may have reached it.
    :param gone: it is dead or out of reach, not merely at fault.
    """

    def __init__(
        self, reason: str, *, sent: bool = True, gone: bool = True
    ) -> None:
        super().__init__(reason)
        self.sent = sent
        self.gone = gone
        self.seconds = 0.0
        self.last_before: int | None = None


class StreamRun:
    """One stream's way through one or more engines.

    :param out: towards the caller.
    """

    def __init__(
        self, parts: _parts.Parts, job: _parts.Job, out: calls.CallerStream
    ) -> None:
        self.parts = parts
        self.job = job
        self.out = out
        self.last = job.call.after
        self.tried: set[str] = set()
        self.runs = 0
        self.backup: decisions.Placed | None = None
        self.backup_since = 0.0
        self.copy: calls.RunCopy | None = None
        # Only a part of the answer is written by the time most streams are
        # lost, so that it counts by half.
        prompt = job.call.prompt
        self.memory = (
            prompt.tokens + prompt.output_tokens // 2 if prompt else 0
        )
        self.lost_zone = ''
        self.lost_at: float | None = None
        self.failed: calls.Reply | None = None
        self.tokens = job.call.prompt.tokens if job.call.prompt else 0
        parts_ = job.call.prompt.parts if job.call.prompt else ()
        self.part = parts_[-1] if parts_ else ''

    async def run(self) -> calls.Reply | None:
        """Return a reply, or ``None`` where the stream went out.

        :raises RequestError: where nothing has gone out yet.
        """
        reason, peer = 'no engine is there', ''
        while True:
            engine, copy = self._choose()
            if engine is None:
                return self._end_early(reason, peer)
            begun, last = self.parts.clock(), self.last
            try:
                return await self._attempt(engine, copy)
            except _Lost as lost:
                reason, peer = str(lost), engine.ident
                lost.seconds = self.parts.clock() - begun
                lost.last_before = last
                self._learn_loss(engine, lost)
                if not await self._may_repeat(lost):
                    return self._end_early(reason, peer)

    def _left(self) -> float:
        return self.job.end - self.parts.clock()

    def _choose(
        self,
    ) -> tuple[decisions.Placed | None, calls.RunCopy | None]:
        """Return the engine to go to, and the copy that it goes on from."""
        if self._left() < LEAST_LEFT_S:
            return None, None
        backup, copy = self.backup, self.copy
        self.backup = self.copy = None
        now = self.parts.clock()
        if (
            backup is not None
            and backup.suspect_until <= now
            and self.parts.placement.keeps_copy(backup, self.backup_since)
        ):
            return backup, copy or calls.RunCopy(backup.address)
        engine = self.parts.placement.choose_engine(
            self.job.service,
            now,
            tokens=self.tokens,
            part=self.part,
            tried=self.tried,
            avoid_zone=self.lost_zone,
            returns=self.job.call.after is not None and not self.runs,
        )
        return engine, None

    async def _may_repeat(self, lost: _Lost) -> bool:
        begun = lost.gone or self.last != lost.last_before
        if not (lost.sent and begun) or lost.seconds < COPY_AFTER_S:
            # Nothing can lie at the backup yet; asking would cost a refusal.
            self.backup = self.copy = None
        if lost.sent:
            self.runs += 1
            if not self.job.route.repeatable:
                return False
        if self.runs >= self.job.route.max_attempts:
            return False
        usable = self.parts.placement.usable(self.job.service)
        if all(b.ident in self.tried for b in usable):
            await asyncio.sleep(PAUSE_S)
            self.tried.clear()
        if self._left() < LEAST_LEFT_S:
            return False
        return self.parts.budget.take(self.job.service, self.parts.clock())

    def _end_early(self, reason: str, peer: str) -> calls.Reply | None:
        _parts.log(
            self.job,
            'stream ended early',
            reason=reason,
            peer=peer,
            last=self.last,
            runs=self.runs,
        )
        self.parts.metrics.count('streams.broken')
        if self.out.begun:
            self.out.cut()
            return None
        if self.failed is not None:
            return self.failed
        if not self.runs:
            raise _parts.refuse(self.job, reason)
        late = self._left() < LEAST_LEFT_S
        raise _parts.give_up(self.job, reason, peer, late=late)

    # One engine

    async def _attempt(
        self, engine: decisions.Placed, copy: calls.RunCopy | None
    ) -> calls.Reply | None:
        if copy is None:
            self.tried.add(engine.ident)
        backup = self.choose_backup(engine)
        self.backup = backup
        self.backup_since = self.parts.clock()
        reading = 0 if copy else self.tokens
        self.parts.placement.began(engine, reading)
        engine.memory += self.memory
        if backup is not None:
            backup.memory += self.memory
        flow = _Flow(self, engine, copy, backup, reading)
        _parts.log(
            self.job,
            'stream placed',
            engine=engine.ident,
            copy=copy.address if copy else '',
            backup=backup.ident if backup else '',
            last=self.last,
            reading=engine.reading + engine.others.reading,
            running=engine.inflight + engine.others.running,
            memory=engine.memory + engine.others.memory,
            heard_s=round(
                self.parts.clock() - self.parts.placement.heard_at, 2
            ),
        )
        try:
            return await flow.run()
        finally:
            flow.close()
            self.parts.placement.ended(engine, flow.reading)
            engine.memory -= self.memory
            if flow.backup is not None:
                flow.backup.memory -= self.memory

    def choose_backup(
        self, engine: decisions.Placed
    ) -> decisions.Placed | None:
        if not (self.job.route.resumable and self.tokens):
            return None
        return self.parts.placement.choose_backup(
            engine, self.parts.clock(), self.tried, self.memory
        )

    def _learn_loss(self, engine: decisions.Placed, lost: _Lost) -> None:
        now = self.parts.clock()
        self.parts.placement.failed(engine.ident, now, gone=lost.gone)
        self.parts.metrics.count('engines.lost')
        if lost.gone:
            self.lost_zone = engine.data_centre
        if self.out.begun and self.lost_at is None:
            self.lost_at = now
        _parts.log(
            self.job,
            'engine lost',
            engine=engine.ident,
            reason=str(lost),
            last=self.last,
            gone=lost.gone,
        )

    def took(self, ident: str) -> None:
        """Learn that events are coming from an engine."""
        now = self.parts.clock()
        if self.lost_at is not None:
            self.parts.metrics.time('streams.resumed', now - self.lost_at)
            _parts.log(
                self.job,
                'stream resumed',
                engine=ident,
                seconds=round(now - self.lost_at, 3),
            )
            self.lost_at = None


def _look_at(sending: 'asyncio.Future[calls.BackendAnswer]') -> None:
    """Take the outcome of a sending that nobody waits for any more."""
    if not sending.cancelled():
        sending.exception()


class _Flow:
    """The events of one engine, on to the caller."""

    def __init__(
        self,
        run: StreamRun,
        engine: decisions.Placed,
        copy: calls.RunCopy | None,
        backup: decisions.Placed | None,
        reading: int,
    ) -> None:
        self.stream = run
        self.parts = run.parts
        self.engine = engine
        self.copy = copy
        self.backup = backup
        self.reading = reading
        self.answer: calls.BackendAnswer | None = None
        self.sending: asyncio.Future[calls.BackendAnswer] | None = None
        self.spoke = False
        self.renewal: asyncio.Task[None] | None = None

    async def run(self) -> calls.Reply | None:
        answer = await self._open()
        head = answer.head
        _parts.learn(self.parts, self.engine.ident, head)
        if head.not_run:
            if head.status == 421:
                self.parts.placement.moved(self.engine.ident)
            raise _Lost(f'refused with {head.status}', sent=False, gone=False)
        if not head.own or not head.genuine:
            raise _Lost('a foreign answer', gone=False)
        if head.status >= 300:
            return await self._failure(answer)
        await self._relay(answer)
        self.parts.placement.succeeded(
            self.engine.ident, self.parts.clock(), None
        )
        self.close()
        await self.drop_copy()
        return None

    def close(self) -> None:
        """Leave the engine; it stops working on the stream."""
        if self.answer is not None:
            self.answer.close()
        if self.sending is not None:
            self.sending.cancel()
            self.sending.add_done_callback(_look_at)
        if self.renewal is not None:
            self.renewal.cancel()

    async def drop_copy(self) -> None:
        """Free the copy that was ordered, once the stream is whole.

        Engines free it themselves, but only seconds later, and until then
        the memory of 8,000 tokens is missing there.
        """
        copy = self.stream.copy
        if copy is not None:
            self.stream.copy = None
            await self.parts.client.drop_copy(copy, RENEW_S)

    async def _open(self) -> calls.BackendAnswer:
        attempt = calls.Attempt(
            self.engine.address,
            self.engine.ident,
            self.stream.job.account,
            self.stream._left(),
            after=self.stream.last,
            backup=self.backup.address if self.backup else '',
            copy=self.copy,
            # A kept connection that the engine closes meanwhile would look
            # like a crash; a new one costs a ms of a stream of seconds.
            fresh=True,
        )
        self.sending = asyncio.ensure_future(
            self.parts.client.send(self.stream.job.call, attempt)
        )
        begun = self.parts.clock()
        while True:
            await asyncio.wait({self.sending}, timeout=FIRST_ASK_S)
            if self.sending.done():
                break
            await self._check_first(begun)
        try:
            self.answer = self.sending.result()
        except errors.BackendError as error:
            sent = error.step != 'connect'
            raise _Lost(str(error), sent=sent) from error
        return self.answer

    async def _check_first(self, begun: float) -> None:
        waited = self.parts.clock() - begun
        ahead = self.engine.reading + self.engine.others.reading
        ahead *= READ_S_PER_TOKEN
        most = max(FIRST_LEAST_S, FIRST_FACTOR * ahead)
        if self.stream._left() <= 0:
            raise _Lost('no event in time', gone=False)
        if waited > most:
            raise _Lost(f'no event for {waited:.2f} s', gone=False)
        await self._ask_for_life()

    async def _ask_for_life(self) -> None:
        for _ in range(ASKED):
            if await self.parts.client.alive(self.engine.address, ASK_S):
                return
        raise _Lost('silent, and gives no sign of life')

    async def _failure(self, answer: calls.BackendAnswer) -> calls.Reply:
        try:
            body = await answer.body()
        except errors.BackendError as error:
            raise _Lost(str(error), gone=False) from error
        head = answer.head
        reply = calls.Reply(head.status, head.headers, body)
        if head.status < 500 or not self.stream.job.route.repeatable:
            return reply
        self.stream.failed = reply
        raise _Lost(f'failed with {head.status}', gone=False)

    async def _relay(self, answer: calls.BackendAnswer) -> None:
        splitter = _events.EventSplitter()
        while True:
            chunk = await self._chunk(answer)
            if not chunk:
                break
            try:
                events = splitter.feed(chunk)
            except errors.BackendError as error:
                raise _Lost(str(error), gone=False) from error
            await self._show_next(answer, events)
            self._look_after_copy()
        if splitter.rest:
            raise _Lost('ended in the middle of an event', gone=False)
        if not self.stream.out.begun:
            await self.stream.out.begin(
                answer.head.status, answer.head.headers
            )
        await self.stream.out.end()

    def _look_after_copy(self) -> None:
        """Have a new copy made where the backup was lost.

        Engines fail a data centre at a time: those that hold the copies go
        first as often as those that run the streams, and a stream whose
        copy is gone would have its whole prompt read again.
        """
        if (
            self.renewal is None
            and self.backup is not None
            and not self._is_kept(self.backup)
        ):
            self.renewal = asyncio.ensure_future(self._renew_copy())

    def _is_kept(self, backup: decisions.Placed) -> bool:
        since = self.stream.backup_since
        return self.parts.placement.keeps_copy(backup, since)

    async def _renew_copy(self) -> None:
        stream = self.stream
        while True:
            target = stream.choose_backup(self.engine)
            if target is None:
                await asyncio.sleep(RENEW_S)
                continue
            self._keep_copy_at(target)
            while self._is_kept(target):
                try:
                    stream.copy = await self.parts.client.copy_run(
                        stream.job.call,
                        self.engine.address,
                        target.address,
                        RENEW_S,
                    )
                except errors.BackendError as error:
                    stream.backup = None
                    _parts.log(
                        stream.job, 'copy not renewed', reason=str(error)
                    )
                    await asyncio.sleep(RENEW_S)
                    break
                stream.backup = target
                await asyncio.sleep(RENEW_S)

    def _keep_copy_at(self, target: decisions.Placed) -> None:
        stream = self.stream
        stream.backup = stream.copy = None
        stream.backup_since = self.parts.clock()
        assert self.backup is not None
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
            raise _Lost(gap, gone=False)

    async def _show(self, answer: calls.BackendAnswer, data: bytes) -> None:
        if not self.spoke:
            self.spoke = True
            self.parts.placement.has_read(self.engine, self.reading)
            self.reading = 0
            self.stream.took(self.engine.ident)
            self.parts.placement.read(
                self.stream.part, self.engine.ident, self.parts.clock()
            )
        out = self.stream.out
        if not out.begun:
            await out.begin(answer.head.status, answer.head.headers)
        await out.write(data)

    async def _chunk(self, answer: calls.BackendAnswer) -> bytes:
        begun = self.parts.clock()
        while True:
            ask = ASK_AFTER_S if self.spoke else FIRST_ASK_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ask):
                    return await self._read(answer)
            if not self.spoke:
                await self._check_first(begun)
                continue
            silent = self.parts.clock() - begun
            if silent > SILENT_S or self.stream._left() <= 0:
                raise _Lost(f'silent for {silent:.2f} s', gone=False)
            await self._ask_for_life()

    async def _read(self, answer: calls.BackendAnswer) -> bytes:
        try:
            return await answer.chunk()
        except errors.BackendError as error:
            raise _Lost(str(error)) from error
