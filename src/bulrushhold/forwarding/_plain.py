"""Forwards a plain request, whose response is not streamed."""

import asyncio
import collections.abc as cabc
import typing as t

import attrs

from bulrushhold import bodies
from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold.forwarding import _blocks
from bulrushhold.forwarding import _context
from bulrushhold.forwarding import _liveness
from bulrushhold.forwarding import _permits
from bulrushhold.forwarding import _requestprogress
from bulrushhold.forwarding import _responses
from bulrushhold.forwarding import _retries

# An idempotent request is sent to another server after this multiple of the
# mean latency; a healthy server responds within it even when slow.
STALL_FACTOR: t.Final = 6.0
MIN_STALL_TIMEOUT_S: t.Final = 0.12
# Delay before a second round, after all servers have been tried. It doubles
# with each round.
RETRY_PAUSE_S: t.Final = 0.04
# No server can respond within less than this.
MIN_REMAINING_S: t.Final = 0.01


@attrs.frozen
class _Result:
    """The result of one attempt.

    :param ran: whether the server ran the request, as far as known.
    :param reply: the server's response, if any.
    :param permitted: the server's request limit allowed the attempt.
    :param broken_off: the server closed the connection before its response
        was complete.
    :param cut_off: neither this entry nor any other reaches the servers.
    :param rejected: the server refused the request without running it.
    """

    ran: errors.Ran
    reason: str = ''
    reply: calls.Reply | None = None
    permitted: bool = True
    broken_off: bool = False
    cut_off: bool = False
    rejected: bool = False


class PlainForwarder(_requestprogress.Attempts):
    """Forwards one plain request, with retries at other backend servers.

    :param on_dispatch: called before each attempt.
    """

    def __init__(
        self,
        context: _context.ForwardingContext,
        job: _context.Job,
        on_dispatch: cabc.Callable[[], None] = lambda: None,
    ) -> None:
        self.on_dispatch = on_dispatch
        self.context = context
        self.job = job
        self.tried: set[str] = set()
        self.attempts = 0
        self.rejections = 0
        self.retry: _retries.Retry | None = None
        self.next_retry: _retries.Retry | None = None
        self.retry_pause_s = RETRY_PAUSE_S
        self.repeatable = job.route.repeatable
        self.last: _Result | None = None
        self.may_have_run = False
        self.replies: list[calls.Reply] = []

    async def run(self) -> calls.Reply:
        """Return the response.

        :raises RequestError: if no server responded; its ``ran`` tells
            whether the request may have run.
        """
        returned = None
        try:
            with self.context.running.track(self.job.fingerprint) as tracked:
                self.tracked = tracked
                returned = await self._run()
        except errors.RequestBlockedError as error:
            returned = self._end_blocked(error)
        finally:
            for reply in self.replies:
                if reply is not returned:
                    reply.close()
        return returned

    async def _run(self) -> calls.Reply:
        while True:
            self.context.running.check(
                self.job.fingerprint, self.context.clock()
            )
            last = self.last
            choice = await _permits.choose_permitted(
                self.context, self.job, self._choose, self.tried
            )
            backend = choice.backend
            if backend is None:
                if last is not None and last.reply is not None:
                    return last.reply
                raise self._refusal(last, choice)
            self.on_dispatch()
            self.retry = _retries.record_sent(
                self.context, self.job.service, self.retry
            )
            result = await self._attempt(backend, choice.has_permit)
            if not result.permitted:
                self.tried.discard(backend.ident)
                continue
            self.last = last = result
            if last.reply is not None and last.reply.status < 500:
                return last.reply
            must_not_repeat = (
                last.ran is not errors.Ran.NO and not self.repeatable
            )
            if must_not_repeat or not await self._may_retry(last):
                if last.reply is not None:
                    return last.reply
                raise self._failure(last, backend.ident)

    def _remaining_s(self) -> float:
        return self.job.deadline - self.context.clock()

    def _choose(self) -> decisions.BackendServer | None:
        if self._remaining_s() < MIN_REMAINING_S:
            return None
        if self.job.canary and not self.tried:
            backend = self._choose_among(canary=True)
            if backend is not None:
                return backend
        return self._choose_among(canary=False)

    def _choose_among(self, *, canary: bool) -> decisions.BackendServer | None:
        return self.context.placement.choose(
            self.job.service,
            self.context.clock(),
            at_most_once=not self.repeatable,
            tried=self.tried,
            canary=canary,
        )

    async def _may_retry(self, last: _Result) -> bool:
        if last.cut_off:
            return False
        if last.ran is not errors.Ran.NO:
            self.attempts += 1
        if self.attempts >= self.job.route.max_attempts:
            return False
        self.rejections += last.rejected
        if last.rejected and self._all_reject():
            self.context.metrics.count('requests.refused_by_all')
            return False
        if not self._untried():
            await asyncio.sleep(self.retry_pause_s)
            self.retry_pause_s *= 2
            self.tried.clear()
        if self._remaining_s() < MIN_REMAINING_S:
            return False
        if self.next_retry is not None:
            self.retry, self.next_retry = self.next_retry, None
            return True
        priority = _retries.priority(self.job, self.rejections)
        self.retry = await _retries.take(self.context, self.job, priority)
        return self.retry is not None

    def _all_reject(self) -> bool:
        return self.context.placement.all_reject(
            self.job.service, self.context.clock()
        )

    def _refusal(
        self, last: _Result | None, choice: _permits.PermittedChoice
    ) -> errors.RequestError:
        """Return the error if there is no server for the next attempt."""
        if last is not None and self.attempts:
            return self._failure(last, '')
        reason = last.reason if last else 'no backend server available'
        reason = choice.reason or reason
        return _context.not_run_error(self.job, reason, choice.retry_after_s)

    def _end_blocked(self, error: errors.RequestBlockedError) -> calls.Reply:
        """Return the last server's response, or raise the final error."""
        self.context.metrics.count('requests.ended_by_block')
        if self.last is not None and self.last.reply is not None:
            return self.last.reply
        if self.may_have_run:
            raise _context.unknown_outcome_error(
                self.job, error.reason, error.peer
            )
        blocked_s = self.context.poison_requests.remaining_block_s(
            self.job.fingerprint, self.context.clock()
        )
        raise _context.not_run_error(self.job, error.reason, blocked_s)

    def _failure(self, last: _Result, ident: str) -> errors.RequestError:
        if last.ran is errors.Ran.NO and not self.attempts:
            return _context.not_run_error(
                self.job,
                last.reason,
                _permits.retry_after_s(_context.RETRY_AFTER_S),
            )
        timed_out = self._remaining_s() < MIN_REMAINING_S
        return _context.unknown_outcome_error(
            self.job, last.reason, ident, timed_out=timed_out
        )

    async def _attempt(
        self, backend: decisions.BackendServer, has_permit: bool
    ) -> _Result:
        self.tried.add(backend.ident)
        self.context.placement.versions.count_exposed(backend)
        started = self.context.clock()
        explained = self.context.placement.explained_factor(backend, started)
        self.context.placement.request_started(backend, started)
        self.context.places.use(backend.ident)
        task = asyncio.ensure_future(self._exchange(backend, has_permit))
        # The outcome of a request that must not be repeated is worth more than
        # its server.
        self.tracked.interruptible = self.repeatable
        try:
            result = await self._wait(task, backend)
            self.may_have_run |= result.ran is not errors.Ran.NO
        except asyncio.CancelledError:
            self.may_have_run = True
            raise
        finally:
            self.tracked.interruptible = True
            self.context.placement.request_ended(backend, self.context.clock())
            if not task.done():
                task.cancel()
                # Close the connection first, so that two servers never run
                # the request at once.
                await asyncio.wait({task})
            self.context.places.release(backend)
        if result.permitted:
            seconds = self.context.clock() - started
            crashed = result.broken_off and await self._has_ended(backend)
            self._record_result(backend, result, seconds, crashed=crashed)
            if result.reply is not None and result.reply.status < 500:
                self.context.placement.record_service_time(
                    backend.ident, seconds, explained, self.context.clock()
                )
            if crashed and self.repeatable:
                await _blocks.wait_for_crash_reports(self.job)
        return result

    async def _wait(
        self, task: 'asyncio.Future[_Result]', backend: decisions.BackendServer
    ) -> _Result:
        if self.repeatable and self._has_attempt_left():
            expected_s = backend.latency or self.job.route.aim_s / 2
            stall_timeout_s = max(
                MIN_STALL_TIMEOUT_S, STALL_FACTOR * expected_s
            )
            timeout_s = min(stall_timeout_s, self._remaining_s() / 2)
            while self._remaining_s() > MIN_REMAINING_S:
                await asyncio.wait(
                    {task}, timeout=min(timeout_s, self._remaining_s())
                )
                if task.done():
                    break
                if not self._can_switch():
                    # A server that was lost for a moment may be back later.
                    continue
                may_leave = await self._prepare_retry()
                if may_leave and not task.done():
                    return _Result(errors.Ran.UNKNOWN, 'stall timeout')
        await asyncio.wait({task}, timeout=max(0.0, self._remaining_s()))
        if task.done():
            return task.result()
        return _Result(errors.Ran.UNKNOWN, 'no answer before the deadline')

    async def _prepare_retry(self) -> bool:
        """Return whether the retry budget allows to leave a slow server.

        It may still answer: without a retry its run would be given up for
        nothing.
        """
        if self.next_retry is None:
            priority = _retries.priority(self.job, self.rejections)
            self.next_retry = await _retries.take_now(
                self.context, self.job.service, priority
            )
        return self.next_retry is not None

    def _can_switch(self) -> bool:
        """Return whether another attempt at a healthy server is possible."""
        return self._has_attempt_left() and any(
            b.ejected_until == 0 for b in self._untried()
        )

    def _has_attempt_left(self) -> bool:
        return self.attempts + 1 < self.job.route.max_attempts

    def _untried(self) -> list[decisions.BackendServer]:
        return self.context.placement.untried_plain(
            self.job.service,
            self.context.clock(),
            self.tried,
            at_most_once=not self.repeatable,
        )

    async def _exchange(
        self, backend: decisions.BackendServer, has_permit: bool
    ) -> _Result:
        attempt = calls.Attempt(
            backend.address,
            backend.ident,
            self.job.account,
            self._remaining_s(),
            # An open connection may have gone silent, as others may have.
            new_connection=not self.repeatable or self.attempts > 0,
            permitted=has_permit,
            fingerprint=self.job.fingerprint,
            priority=self.job.engine_priority,
        )
        response = None
        sent_at = self.context.clock()
        try:
            response = await self.context.client.send(self.job.call, attempt)
            head = response.head
            _responses.record_head(
                self.context, self.job, backend.ident, head, sent_at
            )
            if head.not_run:
                if head.status == 421:
                    self.context.placement.mark_replaced(backend.ident)
                return _Result(
                    errors.Ran.NO,
                    f'refused with status {head.status}',
                    rejected=head.status != 421 and head.backoff is None,
                )
            if not head.matches_request or not head.from_backend:
                return _Result(errors.Ran.UNKNOWN, 'mismatched answer')
            body = await response.receive()
            reply = calls.Reply(head.status, head.headers, body, head.framed)
            self.replies.append(reply)
            if isinstance(body, bodies.Body):
                # It closes the response after its last byte.
                response = None
            return _Result(
                errors.Ran.YES, f'failed with status {head.status}', reply
            )
        except errors.NoPermitError as error:
            return _Result(errors.Ran.NO, str(error), permitted=False)
        except errors.CutOffError as error:
            return _Result(errors.Ran.NO, str(error), cut_off=True)
        except errors.BackendError as error:
            sent = error.step != 'connect'
            ran = errors.Ran.UNKNOWN if sent else errors.Ran.NO
            invalid = isinstance(error, errors.InvalidResponseError)
            return _Result(ran, str(error), broken_off=sent and not invalid)
        finally:
            if response is not None:
                response.close()

    async def _has_ended(self, backend: decisions.BackendServer) -> bool:
        """Whether a server that broke a request off no longer listens."""
        return await self.context.client.has_ended(
            backend.address, _liveness.PROBE_TIMEOUT_S
        )

    def _record_result(
        self,
        backend: decisions.BackendServer,
        result: _Result,
        seconds: float,
        *,
        crashed: bool,
    ) -> None:
        now = self.context.clock()
        rejections = self.context.placement.rejections
        if result.rejected:
            rejections.record(backend.ident, now)
        elif result.ran is not errors.Ran.NO:
            rejections.record_accepted(backend.ident)
        if result.reply is not None:
            self.context.placement.versions.record(
                backend,
                self.job.route.name,
                failed=result.reply.status >= 500,
                latency_s=seconds,
            )
        succeeded = result.reply is not None and result.reply.status < 500
        if succeeded:
            self.context.placement.record_success(backend.ident, now, seconds)
            self.context.placement.record_attempt(
                backend.ident, now, failed=False
            )
            self.context.poison_requests.record_success(
                self.job.fingerprint, now
            )
            return
        unreachable = (
            result.ran is errors.Ran.NO
            and 'connect' in (result.reason.split(' ', 1)[0])
        )
        if not result.cut_off:
            self._record_failure(backend, now, unreachable or crashed)
        verification = self.context.placement.verification
        is_suspect = verification.is_suspect(backend.ident)
        if result.broken_off and (crashed or not is_suspect):
            _blocks.record_broken_off(
                self.context, self.job, backend.ident, seconds, crashed=crashed
            )
        self._log_failure(backend, result, seconds)

    def _record_failure(
        self,
        backend: decisions.BackendServer,
        now: float,
        unreachable: bool,
    ) -> None:
        placement = self.context.placement
        placement.record_failure(backend.ident, now, unreachable=unreachable)
        if not unreachable:
            placement.record_attempt(backend.ident, now, failed=True)

    def _log_failure(
        self,
        backend: decisions.BackendServer,
        result: _Result,
        seconds: float,
    ) -> None:
        self.context.metrics.count('attempts.failed')
        _context.log(
            self.job,
            'attempt failed',
            backend=backend.ident,
            ran=result.ran.value,
            reason=result.reason,
            seconds=round(seconds, 3),
            fingerprint=self.job.fingerprint,
            **self._failure_fields(backend),
        )

    def _failure_fields(
        self, backend: decisions.BackendServer
    ) -> dict[str, t.Any]:
        """Return log fields of the server's failures, at all entries.

        Empty if the service's servers don't state their pace.
        """
        placement = self.context.placement
        if backend.service not in placement.server_speeds.services:
            return {}
        share = placement.failure_share(backend, self.context.clock())
        return {'failure_share': round(share, 3)}
