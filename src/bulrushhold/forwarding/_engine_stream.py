"""Relays the events of one engine to the caller until it fails."""

import asyncio
import contextlib
import math
import typing as t

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold.forwarding import _context
from bulrushhold.forwarding import _enginesilence
from bulrushhold.forwarding import _events
from bulrushhold.forwarding import _liveness
from bulrushhold.forwarding import _pausemonitor
from bulrushhold.forwarding import _promptread
from bulrushhold.forwarding import _responses
from bulrushhold.forwarding import _resumption
from bulrushhold.forwarding import _runevidence
from bulrushhold.forwarding import _streamloss

if t.TYPE_CHECKING:
    from bulrushhold.forwarding import _streams

# Interval of liveness probes during prefill.
PROBE_INTERVAL_S: t.Final = 0.5
# Engines drop a requested copy that has not been renewed for this long.
COPY_TTL_S: t.Final = 4.0
# Short enough for a copy to survive one failed renewal. Tokens generated since
# the last renewal have to be prefilled again after a failover.
COPY_RENEWAL_S: t.Final = 1.5
# The stream waits for the body of an engine's failure before it goes on.
FAILURE_BODY_TIMEOUT_S: t.Final = 0.5
NO_PROBE_ANSWER: t.Final = 'stalled, and no answer to a liveness probe'


def _close_response(
    send_task: 'asyncio.Future[calls.BackendResponse]',
) -> None:
    """Close the response to a cancelled send, if there is one.

    Otherwise the engine would keep generating until the connection is
    garbage-collected.
    """
    if not send_task.cancelled() and send_task.exception() is None:
        send_task.result().close()


class EngineStream:
    """The events of a stream that one engine generates."""

    def __init__(
        self,
        stream: '_streams.StreamForwarder',
        engine: decisions.BackendServer,
        copy: calls.RunCopy | None,
        backup: decisions.BackendServer | None,
        unread_tokens: int,
        has_permit: bool,
    ) -> None:
        self.stream = stream
        self.engines = stream.engines
        self.context = stream.context
        self.engine = engine
        self.copy = copy
        self.backup = backup
        self.unread_tokens = unread_tokens
        self.has_permit = has_permit
        self.response: calls.BackendResponse | None = None
        self.send_task: asyncio.Future[calls.BackendResponse] | None = None
        self.received_event = False
        self.closed = False
        self.renewal: asyncio.Task[None] | None = None
        self.speeds = stream.context.placement.speeds
        self.started_at = stream.context.clock()
        self.read_monitor = _promptread.ReadMonitor(
            self.context,
            stream.job.service,
            engine,
            self.engines.objective,
            ordered=stream.job.priority is not None,
        )
        self.evidence = _runevidence.RunEvidence(
            self.context, stream.job, engine, unread_tokens
        )
        service = stream.job.service
        slowness = self.context.placement.slowness(service, self.started_at)
        self.pauses = _pausemonitor.PauseMonitor(
            self.speeds,
            service,
            self.engines.objective,
            self.started_at,
            slowness.get(engine.ident, 1.0),
        )
        self.silence = _enginesilence.EngineSilence(
            self.context,
            stream.job,
            engine,
            self.read_monitor,
            self.pauses,
            self.evidence,
        )

    async def run(self) -> calls.Reply | None:
        response = await self._open()
        head = response.head
        _responses.record_head(
            self.context,
            self.stream.job,
            self.engine.ident,
            head,
            self.started_at,
        )
        if head.not_run:
            if head.status == 421:
                self.context.placement.mark_replaced(self.engine.ident)
            raise _streamloss.StreamLostError(
                f'refused with status {head.status}',
                sent=False,
                unreachable=False,
            )
        if not head.matches_request or not head.from_backend:
            raise _streamloss.StreamLostError(
                'mismatched answer', unreachable=False
            )
        if head.status >= 300:
            return await self._failure_reply(response)
        await self._relay(response)
        now = self.context.clock()
        self.context.placement.record_success(self.engine.ident, now, None)
        self.evidence.record_end()
        resumed = self.stream.job.call.last_event_id is not None
        if self.copy is None and not resumed:
            run_s = now - self.started_at - self.silence.seconds
            self.speeds.record_run(self.stream.job.service, run_s, now)
        self.close()
        await self.drop_copy()
        return None

    def close(self) -> None:
        """Close the connection, so that the engine stops generating."""
        self.closed = True
        self.read_monitor.cancel()
        if self.send_task is not None:
            self._cancel_send(self.send_task)
        if self.renewal is not None:
            self.renewal.cancel()

    def _cancel_send(
        self, send_task: 'asyncio.Future[calls.BackendResponse]'
    ) -> None:
        if send_task.done():
            _close_response(send_task)
            return
        send_task.cancel()
        send_task.add_done_callback(_close_response)

    async def drop_copy(self) -> None:
        """Free the requested copy after the stream has completed.

        Without this it would hold the memory of a whole prompt until its
        expiry on the engine.
        """
        copy = self.stream.copy
        if copy is not None:
            self.stream.copy = None
            await self.context.client.drop_copy(copy, COPY_RENEWAL_S)

    async def _open(self) -> calls.BackendResponse:
        attempt = calls.Attempt(
            self.engine.address,
            self.engine.ident,
            self.stream.job.account,
            self.stream.remaining_s(),
            last_event_id=self.stream.last_event_id,
            backup=self.backup.address if self.backup else '',
            copy=self.copy,
            # The engine may close an idle connection at any time, which would
            # look like a crash.
            new_connection=True,
            permitted=self.has_permit,
            fingerprint=self.stream.job.fingerprint,
            priority=self.stream.job.engine_priority,
        )
        self.send_task = asyncio.ensure_future(
            self.context.client.send(self.stream.job.call, attempt)
        )
        self._expect_first_event()
        silence = _liveness.SilenceTimer(self.context.clock)
        while not self.send_task.done():
            probe_after_s = self._until_deadline(PROBE_INTERVAL_S)
            with silence.measure(probe_after_s):
                await asyncio.wait({self.send_task}, timeout=probe_after_s)
            if self.send_task.done():
                break
            lost = await self._check_engine(silence)
            if lost is not None and not self.send_task.done():
                raise lost
        try:
            self.response = self.send_task.result()
        except errors.BackendError as error:
            raise _streamloss.from_send_error(error) from error
        return self.response

    def _until_deadline(self, seconds: float) -> float:
        return max(0.0, min(seconds, self.stream.remaining_s()))

    def _expect_first_event(self) -> None:
        """Record when the first event is expected."""
        if (
            not self.unread_tokens
            or self.stream.job.call.last_event_id is not None
        ):
            # A resumed prompt may be cached, which would distort the speed.
            return
        self.read_monitor.start()

    async def _check_engine(
        self, silence: _liveness.SilenceTimer
    ) -> _streamloss.StreamLostError | None:
        """Return why the engine should be left, if it should.

        An engine that may still answer is left only if the stream can go on
        at another one.
        """
        try:
            async with asyncio.timeout(max(0.0, self.stream.remaining_s())):
                return await self._find_loss(silence)
        except TimeoutError:
            return _streamloss.StreamLostError(
                'no event before the deadline', unreachable=False
            )

    async def _find_loss(
        self, silence: _liveness.SilenceTimer
    ) -> _streamloss.StreamLostError | None:
        if not await self._is_alive(silence):
            self.silence.begin()
            return await self._check_silent_engine()
        if self.silence.since is not None:
            # It has just gone on: its next event takes its usual time.
            self._end_silence()
            silence.reset()
            return None
        reason = (
            self._stall(silence)
            if self.received_event
            else self._late_first_event(silence)
        )
        if reason and await self.stream.prepare_move(
            self.engine, silent=False
        ):
            return _streamloss.StreamLostError(
                reason, unreachable=False, placed=True
            )
        return None

    def _end_silence(self) -> None:
        self.stream.moves.successor = None
        self.silence.end()

    async def _check_silent_engine(
        self,
    ) -> _streamloss.StreamLostError | None:
        """Return why an engine that answers no probe should be left.

        While no other engine answers either, a move would only read the
        prompt once more on an engine that is silent, too.
        """
        if self.context.placement.is_gone(self.engine):
            return _streamloss.StreamLostError('replaced or no longer listed')
        end_check = asyncio.ensure_future(
            self.context.probes.has_ended(self.engine)
        )
        try:
            found = await self.stream.find_successor(self.engine)
            if not found:
                await end_check
            if end_check.done() and end_check.result():
                return _streamloss.StreamLostError('process has ended')
        finally:
            end_check.cancel()
        if found and await self.stream.prepare_move(self.engine, silent=True):
            return _streamloss.StreamLostError(NO_PROBE_ANSWER, silent=True)
        self.silence.log_kept(
            'no retry' if found else 'no other engine answers'
        )
        return None

    def _late_first_event(self, silence: _liveness.SilenceTimer) -> str:
        """Return why the engine is too slow to read the prompt, or ``''``."""
        waited = silence.seconds
        elsewhere_s = self.engines.estimate_capacity(
            self.engine.ident
        ).first_event_s
        if waited > self.read_monitor.timeout_s(elsewhere_s):
            return f'no first event after {waited:.2f} s'
        return ''

    async def _is_alive(self, silence: _liveness.SilenceTimer) -> bool:
        with silence.measure(_liveness.PROBE_TIMEOUT_S):
            return await self.context.probes.is_alive(self.engine)

    async def _failure_reply(
        self, response: calls.BackendResponse
    ) -> calls.Reply:
        """Return an answer that is no stream.

        :raises StreamLostError: if the stream may go on elsewhere, or the
            body doesn't end in time.
        """
        head = response.head
        may_go_on = head.status >= 500 and self.stream.job.route.repeatable
        timeout_s = FAILURE_BODY_TIMEOUT_S if may_go_on else math.inf
        reason = f'failed with status {head.status}'
        reply = None
        try:
            async with asyncio.timeout(self._until_deadline(timeout_s)):
                body = await response.body()
            reply = calls.Reply(head.status, head.headers, body, head.framed)
        except TimeoutError:
            reason += ', and its body did not end'
        except errors.BackendError as error:
            raise _streamloss.StreamLostError(
                str(error), unreachable=False
            ) from error
        if reply is not None and not may_go_on:
            return reply
        self.stream.failure_reply = reply or self.stream.failure_reply
        if may_go_on:
            self.evidence.record_failure()
        raise _streamloss.StreamLostError(reason, unreachable=False)

    async def _relay(self, response: calls.BackendResponse) -> None:
        splitter = _events.EventSplitter()
        while True:
            chunk = await self._next_chunk(response)
            if not chunk:
                break
            try:
                events = splitter.feed(chunk)
            except errors.BackendError as error:
                raise _streamloss.StreamLostError(
                    str(error), unreachable=False
                ) from error
            await self._forward_new_events(response, events)
            self._ensure_copy()
        if splitter.buffer:
            raise _streamloss.StreamLostError(
                'incomplete last event', unreachable=False
            )
        await self._end(response.head)

    async def _end(self, head: calls.ResponseHead) -> None:
        caller_stream = self.stream.caller_stream
        if not caller_stream.headers_sent:
            await caller_stream.send_headers(
                head.status, head.headers, head.framed
            )
        if caller_stream.framed and not head.framed:
            # An engine before this one had a frame, which can't be completed.
            self.context.metrics.count('streams.end_unknown')
            self.stream.end_known = False
            caller_stream.abort()
            return
        is_withheld = not caller_stream.headers_sent
        await caller_stream.end()
        if is_withheld:
            self.stream.timing.record_event_sent()

    def _ensure_copy(self) -> None:
        """Request a copy of the run's memory if no backup holds one.

        Guards against a backup that fails before the engine of the stream:
        without a new copy the whole prompt would be prefilled again.
        """
        if self.renewal is None and not self._has_copy():
            self.renewal = asyncio.ensure_future(self._renew_copy())

    def _has_copy(self) -> bool:
        return self.backup is not None and self._may_hold_copy(self.backup)

    def _may_hold_copy(self, backup: decisions.BackendServer) -> bool:
        since = self.stream.backup_since
        return self.context.placement.may_hold_copy(backup, since)

    async def _renew_copy(self) -> None:
        stream = self.stream
        while True:
            target = self.engines.choose_backup(self.engine)
            if target is None:
                await asyncio.sleep(COPY_RENEWAL_S)
                continue
            self._set_backup(target)
            copied_at = float('-inf')
            while self._may_hold_copy(target):
                now = self.context.clock()
                try:
                    stream.copy = await self.context.client.copy_run(
                        stream.job.call,
                        self.engine.address,
                        target.address,
                        COPY_RENEWAL_S,
                    )
                except errors.BackendError as error:
                    # The engine itself may be failing: keep the last copy,
                    # from which the stream can resume.
                    _context.log(
                        stream.job, 'copy not renewed', reason=str(error)
                    )
                    await asyncio.sleep(COPY_RENEWAL_S)
                    if now - copied_at > COPY_TTL_S:
                        break
                    continue
                stream.backup = target
                copied_at = now
                await asyncio.sleep(COPY_RENEWAL_S)

    def _set_backup(self, target: decisions.BackendServer) -> None:
        stream = self.stream
        stream.backup = stream.copy = None
        stream.backup_since = self.context.clock()
        if self.backup is not None:
            self.backup.memory -= self.engines.memory
        target.memory += self.engines.memory
        self.backup = target
        _context.log(stream.job, 'copy requested', at=target.ident)

    async def _forward_new_events(
        self, response: calls.BackendResponse, events: list[_events.Event]
    ) -> None:
        """Forward the events that directly follow the caller's last one."""
        data = b''
        gap = ''
        for event in events:
            last = self.stream.last_event_id
            if event.event_id is not None and last is not None:
                if event.event_id <= last:
                    continue
                if event.event_id != last + 1:
                    gap = f'missing events: {event.event_id} after {last}'
                    break
            if event.event_id is not None:
                self.stream.last_event_id = event.event_id
            data += event.data
        if data:
            await self._forward(response, data)
        if gap:
            raise _streamloss.StreamLostError(gap, unreachable=False)

    async def _forward(
        self, response: calls.BackendResponse, data: bytes
    ) -> None:
        now = self.context.clock()
        self._end_silence()
        self.pauses.record_event(now, first=not self.received_event)
        self.evidence.record_event(now)
        if not self.received_event:
            self.received_event = True
            self._pin_version()
            self.stream.tracked.interruptible = False
            self.read_monitor.finish()
            self.context.placement.prompt_read(self.engine, self.unread_tokens)
            self.unread_tokens = 0
            self.stream.timing.record_resumption(self.engine.ident)
            self.context.placement.cached_prompts.record_read(
                self.engines.last_segment, self.engine.ident, now
            )
        caller_stream = self.stream.caller_stream
        if not caller_stream.headers_sent:
            if self.stream.job.version is not None:
                self.context.metrics.count('streams.continued')
            await caller_stream.send_headers(
                response.head.status,
                response.head.headers,
                response.head.framed,
            )
        if caller_stream.headers_sent:
            self.stream.timing.record_event_sent()
        await caller_stream.write(data)

    def _pin_version(self) -> None:
        job, version = self.stream.job, self.engine.version
        if self.engines.version is None:
            self.engines.version = version
            if job.route.repeatable:
                self.engines.version_check = asyncio.ensure_future(
                    self._check_version(self.context.clock())
                )

    async def _check_version(self, began_at: float) -> bool:
        """Record which version began the stream; return whether it is known.

        The list may still show the version of the engine's former process.
        """
        job = self.stream.job
        version = await self.context.version_checks.version_that_began(
            self.engine,
            began_at,
            lambda: not self.closed,
            self._record_pending_origin,
        )
        if version is None:
            _context.log(job, 'version not known', engine=self.engine.ident)
        else:
            self.engines.version = version
        if job.route.resumable:
            _resumption.record_origin(
                self.context, job, job.call.ident, version
            )
        return version is not None

    def _record_pending_origin(self, pending_s: float) -> None:
        job = self.stream.job
        if job.route.resumable:
            _resumption.record_pending_origin(
                self.context, job, job.call.ident, pending_s
            )

    async def _next_chunk(self, response: calls.BackendResponse) -> bytes:
        silence = _liveness.SilenceTimer(self.context.clock)
        while True:
            probe_after_s = (
                self.pauses.stall_timeouts.probe_after_s
                if self.received_event
                else PROBE_INTERVAL_S
            )
            probe_after_s = self._until_deadline(probe_after_s)
            with (
                contextlib.suppress(TimeoutError),
                silence.measure(probe_after_s),
            ):
                async with asyncio.timeout(probe_after_s):
                    return await self._read(response)
            lost = await self._check_engine(silence)
            if lost is not None:
                return await self._read_buffered(response, lost)

    def _stall(self, silence: _liveness.SilenceTimer) -> str:
        """Return why the engine is too slow to go on, or ``''``."""
        stalled_s = silence.seconds
        if stalled_s > self._stall_timeout_s():
            return f'stalled for {stalled_s:.2f} s'
        return ''

    async def _read_buffered(
        self,
        response: calls.BackendResponse,
        lost: _streamloss.StreamLostError,
    ) -> bytes:
        """Return what arrived during a failed probe, without waiting."""
        try:
            async with asyncio.timeout(0):
                return await self._read(response)
        except TimeoutError:
            raise lost from None

    def _stall_timeout_s(self) -> float:
        if self._has_copy():
            return self.pauses.stall_timeouts.failover_timeout_s()
        elsewhere_s = self.engines.estimate_capacity(
            self.engine.ident
        ).first_event_s
        return self.pauses.stall_timeouts.reread_timeout_s(elsewhere_s)

    async def _read(self, response: calls.BackendResponse) -> bytes:
        try:
            return await response.chunk()
        except errors.InvalidResponseError as error:
            raise _streamloss.StreamLostError(
                str(error), unreachable=False
            ) from error
        except errors.BackendError as error:
            raise _streamloss.StreamLostError(
                str(error), reset=True
            ) from error
