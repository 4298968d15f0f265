"""Forwards a stream of events and resumes it after engine failures."""

import asyncio
import collections.abc as cabc
import typing as t

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold.forwarding import _admission
from bulrushhold.forwarding import _blocks
from bulrushhold.forwarding import _context
from bulrushhold.forwarding import _engine_stream
from bulrushhold.forwarding import _enginechooser
from bulrushhold.forwarding import _lossrecord
from bulrushhold.forwarding import _moves
from bulrushhold.forwarding import _permits
from bulrushhold.forwarding import _prompt_cache
from bulrushhold.forwarding import _requestprogress
from bulrushhold.forwarding import _retries
from bulrushhold.forwarding import _running
from bulrushhold.forwarding import _streamloss
from bulrushhold.forwarding import _streamtiming

# A run that fails earlier has no copy at the backup yet.
COPY_AFTER_S: t.Final = 0.3
# Delay before a second round, after all engines have been tried. It doubles
# with each round of a stream that only some of the engines can serve.
RETRY_PAUSE_S: t.Final = 0.05
MAX_RETRY_PAUSE_S: t.Final = 0.8
MIN_REMAINING_S: t.Final = 0.05
# Interval at which a stream that has begun asks again for an engine, while
# none can be reached.
CUT_OFF_RETRY_S: t.Final = 0.25
# Time in which a list shows what an engine runs, or another engine is found.
MAX_VERSION_UNKNOWN_S: t.Final = 1.5
# If a prompt exceeds the memory of all engines, a retry succeeds only after
# larger ones were added.
TOO_LARGE_RETRY_S: t.Final = 60.0
# Engines granted in a row that this entry couldn't use; it then chooses one
# itself.
MAX_UNUSED_GRANTS: t.Final = 8


class StreamForwarder(_requestprogress.Attempts):
    """Forwards one stream, from one engine at a time.

    :param caller_stream: the response to the caller.
    :param on_dispatch: called before each attempt.
    :ivar event_id_before: last event before the present run.
    :ivar moves: prepares the next move.
    :ivar limit: what kept it from another attempt.
    :ivar end_known: whether the caller's response could be completed.
    """

    def __init__(
        self,
        context: _context.ForwardingContext,
        job: _context.Job,
        caller_stream: calls.CallerStream,
        on_dispatch: cabc.Callable[[], None] = lambda: None,
    ) -> None:
        self.on_dispatch = on_dispatch
        self.context = context
        self.job = job
        self.caller_stream = caller_stream
        self.last_event_id = job.call.last_event_id
        self.engines = _enginechooser.EngineChooser(context, job)
        self.lost_runs = 0
        self.rejections = 0
        self.retry_pause_s = RETRY_PAUSE_S
        self.may_have_run = False
        self.ticket = ''
        self.backup: decisions.BackendServer | None = None
        self.backup_since = 0.0
        self.copy: calls.RunCopy | None = None
        self.timing = _streamtiming.StreamTiming(context, job)
        self.failure_reply: calls.Reply | None = None
        self.retry: _retries.Retry | None = None
        self.moves = _moves.MovePlanner(context, job, self.engines)
        self.event_id_before = self.last_event_id
        self.tracked: _running.RunningRequest | None = None
        self.limit = ''
        self.end_known = True
        self.version_unknown_since = float('inf')

    async def run(self) -> calls.Reply | None:
        """Return a reply, or ``None`` if the response was streamed.

        :raises RequestError: if the stream fails before its first event.
        """
        try:
            with self.context.running.track(self.job.fingerprint) as tracked:
                self.tracked = tracked
                return await self._run()
        except errors.RequestBlockedError as error:
            return self._end_blocked(error)
        except (asyncio.CancelledError, ConnectionError):
            # Logged to tell a cancelled stream from one that was lost.
            disconnected = not self.caller_stream.connected
            self._log_end(
                'stream cancelled',
                reason='caller disconnected'
                if disconnected
                else 'entry shutting down',
            )
            raise

    async def _run(self) -> calls.Reply | None:
        reason, peer = 'no engine available', ''
        await self._wait_for_first_engine()
        while True:
            self.context.running.check(
                self.job.fingerprint, self.context.clock()
            )
            choice, copy = await self._choose()
            engine = choice.backend
            if engine is None:
                if await self._wait_for_engine():
                    continue
                return self._end_incomplete(
                    choice.reason or reason,
                    peer,
                    choice.retry_after_s,
                    limit='no engine',
                )
            if not await self.engines.may_resume_at(engine):
                if await self._leave_out(engine):
                    continue
                return self._end_incomplete(
                    'no engine is known to run its version',
                    engine.ident,
                    _context.RETRY_AFTER_S,
                    limit='version',
                )
            self.on_dispatch()
            self.retry = _retries.record_sent(
                self.context, self.job.service, self.retry
            )
            started, last = self.context.clock(), self.last_event_id
            self.event_id_before = last
            try:
                reply = await self._attempt(engine, copy, choice.has_permit)
            except _streamloss.StreamLostError as lost:
                if not lost.permitted:
                    self.engines.tried.discard(engine.ident)
                    continue
                self.may_have_run |= lost.sent
                self.moves.has_place &= lost.placed
                reason, peer = str(lost), engine.ident
                lost.seconds = self.context.clock() - started
                lost.event_id_before = last
                await _lossrecord.check_reachable(self.context, engine, lost)
                self._record_loss(engine, lost)
                if not await self.engines.version_is_known():
                    return self._end_incomplete(
                        'the version that began the stream is unknown',
                        peer,
                        None,
                        limit='version',
                    )
                # A stream that has begun is resumed at once.
                if lost.crashed and not self.begun:
                    await _blocks.wait_for_crash_reports(self.job)
                if not await self._may_retry(engine, lost):
                    return self._end_incomplete(
                        reason, peer, _context.RETRY_AFTER_S, limit=self.limit
                    )
            else:
                if reply is not None and self.begun:
                    # No reply can follow another engine's events.
                    return self._end_incomplete(
                        f'failed with status {reply.status}',
                        engine.ident,
                        _context.RETRY_AFTER_S,
                        limit='rejected',
                    )
                if reply is None:
                    self.context.poison_requests.record_success(
                        self.job.fingerprint, self.context.clock()
                    )
                self._log_end(self._outcome(reply))
                return reply

    def _outcome(self, reply: calls.Reply | None) -> str:
        if reply is not None:
            return 'stream failed'
        return 'stream whole' if self.end_known else 'stream end unknown'

    async def _wait_for_admission(self) -> _admission.AdmissionResult:
        begun = self.last_event_id is not None
        return await _admission.wait_for_admission(
            self.context,
            self.job,
            self.engines.estimate_capacity,
            waiting_since=self.context.clock()
            if begun
            else self.timing.started_at,
            begun=begun,
        )

    async def _wait_for_first_engine(self) -> None:
        """Wait until the first engine can take the stream.

        :raises RequestError: if admission control rejects the stream.
        """
        tokens = self.engines.tokens
        if not self.context.placement.can_hold(self.job.service, tokens):
            raise self._refuse(
                f'prompt of {tokens} tokens exceeds engine memory',
                TOO_LARGE_RETRY_S,
            )
        resumes = self.job.call.last_event_id is not None
        if resumes and await _prompt_cache.find_cached_prompt(
            self.context,
            self.job,
            self.engines.last_segment,
        ):
            # A cached prompt needs no prefill and delays nobody.
            return
        if self._is_ordered():
            return
        admission = await self._wait_for_admission()
        if not admission.admitted:
            self.context.metrics.count('streams.refused_full')
            raise self._refuse('engines at capacity', admission.retry_after_s)

    def _is_ordered(self) -> bool:
        """Return whether the stream takes its turn among all others.

        The caller sees any wait as a stall once it has events.
        """
        return self.job.priority is not None and self.last_event_id is None

    def _refuse(
        self, reason: str, retry_after_s: float, **fields: t.Any
    ) -> errors.RequestError:
        self._log_end('stream refused', reason=reason, **fields)
        return _context.not_run_error(self.job, reason, retry_after_s)

    @property
    def begun(self) -> bool:
        """Whether events have arrived; they may be withheld."""
        return (
            self.caller_stream.headers_sent
            or self.last_event_id != self.job.call.last_event_id
        )

    def remaining_s(self) -> float:
        return self.job.deadline - self.context.clock()

    async def _choose(
        self,
    ) -> tuple[_permits.PermittedChoice, calls.RunCopy | None]:
        """Return the next engine, and the copy from which it resumes."""
        if self.remaining_s() < MIN_REMAINING_S:
            return _permits.PermittedChoice(), None
        backup, copy = self.backup, self.copy
        successor = self.moves.take_successor()
        has_place = self.moves.take_place() and not self.begun
        self.backup = self.copy = None
        if successor is not None and successor is not backup:
            # The backup doesn't answer.
            backup = None
        if backup is not None and self.engines.may_resume_on(
            backup, self.backup_since
        ):
            permission = await _permits.acquire(
                self.context, self.job, backup.ident
            )
            if permission is not _permits.Permission.DENIED:
                has_permit = permission is _permits.Permission.PERMIT
                choice = _permits.PermittedChoice(backup, has_permit)
                return choice, copy or calls.RunCopy(backup.address)
        if self._is_ordered() and not has_place:
            return await self._choose_in_order(), None
        if successor is not None:
            permission = await _permits.acquire(
                self.context, self.job, successor.ident
            )
            if permission is not _permits.Permission.DENIED:
                has_permit = permission is _permits.Permission.PERMIT
                return _permits.PermittedChoice(successor, has_permit), None
        needs_admission = bool(self.lost_runs) and not has_place
        if needs_admission and not (await self._wait_for_admission()).admitted:
            return _permits.PermittedChoice(), None
        choice = await self.engines.choose(begun=self.begun)
        return choice, None

    async def _choose_in_order(self) -> _permits.PermittedChoice:
        """Return the next engine as the stream's turn has come.

        :raises RequestError: if the stream is refused.
        """
        for _ in range(MAX_UNUSED_GRANTS):
            admission = await _admission.wait_in_order(
                self.context,
                self.job,
                self.engines,
                waiting_since=self.timing.started_at,
                refusable=not self.may_have_run,
                ticket=self.ticket,
            )
            self.ticket = admission.ticket or self.ticket
            if not admission.admitted:
                if self.may_have_run:
                    return _permits.PermittedChoice()
                self.context.metrics.count('streams.refused_full')
                raise self._refuse(
                    'engines at capacity',
                    admission.retry_after_s,
                    ticket=admission.ticket,
                    priority=self.job.priority,
                )
            if not admission.engine:
                break
            choice = await self.engines.accept(admission.engine)
            if choice is not None:
                return choice
        return await self.engines.choose(begun=False)

    async def _may_retry(
        self,
        engine: decisions.BackendServer,
        lost: _streamloss.StreamLostError,
    ) -> bool:
        run_started = (
            lost.unreachable
            or lost.reset
            or self.last_event_id != lost.event_id_before
        )
        if not (lost.sent and run_started) or lost.seconds < COPY_AFTER_S:
            # The backup has no copy yet and would refuse the stream.
            self.backup = self.copy = None
        if lost.cut_off:
            return await self._wait_for_connection()
        if lost.sent:
            self.lost_runs += 1
            self._count_run(engine, lost)
            if not self.job.route.repeatable:
                self.limit = 'may run once'
                return False
        if self.engines.run_limit.exhausted:
            self.limit = 'attempts'
            return False
        if not self.engines.untried():
            await asyncio.sleep(self.retry_pause_s)
            if self.engines.version is not None:
                self.retry_pause_s = min(
                    MAX_RETRY_PAUSE_S, 2 * self.retry_pause_s
                )
            self.engines.tried.clear()
        if self.remaining_s() < MIN_REMAINING_S:
            self.limit = 'deadline'
            return False
        self.limit = 'retry budget'
        self.retry = self.moves.take_retry()
        if self.retry is not None:
            return True
        self.rejections += lost.rejected
        priority = _retries.priority(
            self.job, self.rejections, begun=self.begun
        )
        self.retry = await _retries.take(self.context, self.job, priority)
        return self.retry is not None

    def _record_loss(
        self,
        engine: decisions.BackendServer,
        lost: _streamloss.StreamLostError,
    ) -> None:
        _lossrecord.record_loss(
            self.context, self.job, engine, lost, self.last_event_id
        )
        if lost.unreachable:
            self.engines.lost_data_centre = engine.data_centre
        if self.begun:
            self.timing.record_interruption()

    def _count_run(
        self,
        engine: decisions.BackendServer,
        lost: _streamloss.StreamLostError,
    ) -> None:
        limit = self.engines.run_limit
        if lost.crashed:
            limit.record_ended(engine.ident)
        if not lost.silent:
            limit.record_failure(
                progressed=self.last_event_id != lost.event_id_before
            )

    async def find_successor(self, engine: decisions.BackendServer) -> bool:
        """Return whether an engine answers at which the stream might go on.

        :param engine: the one that doesn't answer.
        """
        backup = self.backup
        if backup is not None and not self.engines.may_resume_on(
            backup, self.backup_since
        ):
            backup = None
        return await self.moves.find_successor(engine, backup)

    async def prepare_move(
        self, engine: decisions.BackendServer, *, silent: bool
    ) -> bool:
        """Return whether the stream may leave an engine that may still answer.

        :param engine: the one to leave.
        :param silent: the engine answers no probe; it hasn't failed the run.
        """
        progressed = self.last_event_id != self.event_id_before
        limit = self.engines.run_limit
        if not silent and not limit.allows_failure(progressed=progressed):
            return False
        if not silent and not self._has_place_elsewhere(engine):
            return False
        return await self.moves.secure_retry(self.rejections, begun=self.begun)

    def _has_place_elsewhere(self, engine: decisions.BackendServer) -> bool:
        """Return whether another engine would take the stream at once.

        Without events it is refused if none does in time, though the engine
        that it has left might have answered; it isn't refused with events. It
        has had its turn and needs no other one.
        """
        if self.begun:
            return True
        self.moves.has_place = _admission.is_admitted_now(
            self.context,
            self.job,
            self.engines.estimate_capacity(engine.ident, allowed_only=True),
            waiting_since=self.timing.started_at,
        )
        return self.moves.has_place

    async def _leave_out(self, engine: decisions.BackendServer) -> bool:
        """Try all others before an engine whose version isn't known.

        Returns whether to go on: a caller that has no event from here may
        better come back.
        """
        _context.log(
            self.job,
            'engine not used',
            engine=engine.ident,
            reason='its version is not known',
            version=self.engines.version,
        )
        now = self.context.clock()
        self.version_unknown_since = min(self.version_unknown_since, now)
        unknown_s = now - self.version_unknown_since
        if not self.begun and (unknown_s > MAX_VERSION_UNKNOWN_S):
            return False
        self.engines.tried.add(engine.ident)
        if not self.engines.untried():
            await asyncio.sleep(CUT_OFF_RETRY_S)
            self.engines.tried.clear()
        return True

    async def _wait_for_engine(self) -> bool:
        """Return whether to look for an engine again, as there is none now.

        A stream of which the caller has events doesn't end while there is
        time.
        """
        if (
            not self.begun
            or self.remaining_s() < MIN_REMAINING_S
            or self.engines.version_is_gone()
        ):
            return False
        self.engines.tried.clear()
        await asyncio.sleep(CUT_OFF_RETRY_S)
        return True

    async def _wait_for_connection(self) -> bool:
        """Return whether to look for an engine again; none can be reached.

        Only a stream that has begun can lose anything by its end.
        """
        self.limit = 'cut off'
        if not self.begun:
            return False
        self.engines.tried.clear()
        await asyncio.sleep(CUT_OFF_RETRY_S)
        return self.remaining_s() >= MIN_REMAINING_S

    def _log_end(self, outcome: str, **fields: t.Any) -> None:
        _context.log(
            self.job,
            outcome,
            last=self.last_event_id,
            lost_runs=self.lost_runs,
            **self.timing.log_fields(),
            **fields,
        )

    def _order_fields(self) -> dict[str, t.Any]:
        if self.job.priority is None:
            return {}
        return {'priority': self.job.priority, 'account': self.job.account}

    def _end_incomplete(
        self, reason: str, peer: str, retry_after_s: float, *, limit: str
    ) -> calls.Reply | None:
        """End a stream for want of an engine.

        :param limit: what it has used up.
        """
        self._log_end(
            'stream ended early',
            reason=reason,
            peer=peer,
            limit=limit,
            remaining_s=round(self.remaining_s(), 2),
        )
        self.context.metrics.count('streams.broken')
        self.context.metrics.count(f'streams.broken.{limit.replace(" ", "_")}')
        if self.caller_stream.headers_sent:
            self.caller_stream.abort()
            return None
        if self.failure_reply is not None:
            return self.failure_reply
        if not self.may_have_run:
            raise _context.not_run_error(self.job, reason, retry_after_s)
        timed_out = self.remaining_s() < MIN_REMAINING_S
        raise _context.unknown_outcome_error(
            self.job, reason, peer, timed_out=timed_out
        )

    def _end_blocked(
        self, error: errors.RequestBlockedError
    ) -> calls.Reply | None:
        blocked_s = self.context.poison_requests.remaining_block_s(
            self.job.fingerprint, self.context.clock()
        )
        self.context.metrics.count('requests.ended_by_block')
        return self._end_incomplete(
            error.reason, error.peer, blocked_s, limit='blocked'
        )

    # Attempts at one engine

    async def _attempt(
        self,
        engine: decisions.BackendServer,
        copy: calls.RunCopy | None,
        has_permit: bool,
    ) -> calls.Reply | None:
        if copy is None:
            self.engines.tried.add(engine.ident)
        limit = self.engines.run_limit
        is_new = engine.ident not in limit.engines
        limit.record_sent(engine.ident)
        backup = self.engines.choose_backup(engine)
        self.backup = backup
        self.backup_since = self.context.clock()
        unread_tokens = 0 if copy else self.engines.tokens
        self.context.placement.stream_started(engine, unread_tokens)
        self.context.places.use(engine.ident)
        self.context.placement.versions.count_exposed(engine)
        engine.memory += self.engines.memory
        if backup is not None:
            backup.memory += self.engines.memory
        engine_stream = _engine_stream.EngineStream(
            self, engine, copy, backup, unread_tokens, has_permit
        )
        _context.log(
            self.job,
            'stream dispatched',
            engine=engine.ident,
            version=engine.version,
            resumes=self.job.call.resumes,
            fingerprint=self.job.fingerprint,
            **self._order_fields(),
            copy=copy.address if copy else '',
            backup=backup.ident if backup else '',
            last=self.last_event_id,
            reading=engine.reading + engine.remote_load.reading,
            running=engine.inflight + engine.remote_load.running,
            memory=engine.memory + engine.remote_load.memory,
            load_age_s=round(
                self.context.clock() - self.context.placement.last_report_at, 2
            ),
            **self.engines.expectations(engine),
        )
        try:
            return await engine_stream.run()
        except _streamloss.StreamLostError as lost:
            if is_new and not lost.sent:
                limit.record_ended(engine.ident)
            raise
        except asyncio.CancelledError:
            # The engine may have begun to run it.
            self.may_have_run = True
            raise
        finally:
            self.tracked.interruptible = True
            engine_stream.close()
            self.context.placement.stream_ended(
                engine, engine_stream.unread_tokens
            )
            self.context.places.release(engine)
            engine.memory -= self.engines.memory
            if engine_stream.backup is not None:
                engine_stream.backup.memory -= self.engines.memory
