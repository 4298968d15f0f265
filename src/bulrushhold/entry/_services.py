"""Calls of plain services: idempotent ones, and ones run at most once."""

import asyncio
import time
import typing as t

import uuid_utils

from bulrushhold import decisions
from bulrushhold.entry import _control
from bulrushhold.entry import _requests
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports

CLAIM_TIMEOUT_S: t.Final = 5.0
END_CLAIM_TIMEOUT_S: t.Final = 30.0
CLOSE_CLAIM_TIMEOUT_S: t.Final = 5.0
RECORD_WAIT_S: t.Final = 1.0
MAX_TRIES: t.Final = 3
MAX_RECORDED_BYTES: t.Final = 64 << 10
RETRY_AFTER_S: t.Final = 1.0
MAX_KEY_AHEAD_S: t.Final = 300.0


class ServiceRunner:
    """Routes calls to plain services."""

    def __init__(
        self,
        router: decisions.Router,
        services: ports.ServiceClient,
        control: _control.ControlClient,
        metrics: ports.Metrics,
    ) -> None:
        self.router = router
        self.services = services
        self.control = control
        self.metrics = metrics
        self.calls: set[asyncio.Task[ports.ServiceResponse]] = set()
        self.recording_tasks: set[asyncio.Task[bool]] = set()

    @property
    def unfinished(self) -> int:
        """The number of calls whose outcome isn't recorded yet."""
        return len(self.calls) + len(self.recording_tasks)

    async def call_idempotent(
        self, service: str, row: messages.Row, call: ports.ServiceRequest
    ) -> ports.ServiceResponse:
        """Make an idempotent call, retrying on other servers.

        :raises RequestError: if every try failed or the deadline passed.
        """
        deadline = time.monotonic() + row.deadline_s
        tried: set[str] = set()
        last_error: errors.BackendError | None = None
        while len(tried) < MAX_TRIES and time.monotonic() < deadline:
            state = self._choose(service, row, call, tried)
            if state is None:
                break
            tried.add(state.server.name)
            try:
                return await self._call(state, call)
            except errors.BackendError as error:
                last_error = error
        if last_error is None:
            raise self._no_server_error(service)
        raise errors.RequestError(
            last_error.reason,
            last_error.step,
            last_error.peer,
            ran=errors.Ran.UNKNOWN,
            status=502,
            retry_after=RETRY_AFTER_S,
        )

    async def call_once(
        self,
        service: str,
        row: messages.Row,
        call: ports.ServiceRequest,
        key: str,
    ) -> ports.ServiceResponse:
        """Make a call at most once.

        A claim on the key, committed by control, gives one entry the right
        to make the call. The outcome is recorded with the claim.

        It goes on if its caller disconnects, until its outcome is recorded.

        :raises RequestError: with ``ran`` saying whether the call was
            made, as far as is known.
        """
        task = asyncio.get_running_loop().create_task(
            self._call_once(service, row, call, key)
        )
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)
        return await asyncio.shield(task)

    async def _call_once(
        self,
        service: str,
        row: messages.Row,
        call: ports.ServiceRequest,
        key: str,
    ) -> ports.ServiceResponse:
        name = f'{row.account}/{key}'
        holder = str(uuid_utils.uuid4())
        content = b'\0'.join(
            (call.method.encode(), call.path.encode(), call.query.encode())
        )
        claim = messages.Claim(
            name,
            _checked_key_time(key),
            decisions.content_fingerprint(content + b'\0' + call.body),
            holder,
        )
        outcome = await self._claim(claim)
        if not outcome.granted:
            return self._replay_outcome(outcome)
        return await self._run_claimed(service, row, call, claim)

    async def _claim(self, claim: messages.Claim) -> messages.ClaimOutcome:
        try:
            return await self.control.propose(claim, CLAIM_TIMEOUT_S)
        except errors.PeerError as error:
            # The claim may still be committed, but this holder won't make
            # the call. Left open, it would refuse every retry of the key
            # with an unknown outcome.
            self._record_in_background(claim, errors.Ran.NO)
            raise errors.RequestError(
                'the claim was not confirmed by a majority of control',
                'claim',
                error.peer,
                ran=errors.Ran.UNKNOWN,
                status=503,
                retry_after=RETRY_AFTER_S,
            ) from error

    def _replay_outcome(
        self, outcome: messages.ClaimOutcome
    ) -> ports.ServiceResponse:
        """Answer a repeated key with the recorded outcome."""
        if outcome.state == 'done' and outcome.ran == 'yes':
            return ports.ServiceResponse(
                outcome.status, outcome.body, 'application/json'
            )
        reasons = {
            'open': ('the call is in progress, or its entry was lost', 409),
            'done': ('the call was made, but its outcome is unknown', 409),
            'closed': ('the call was refused before; use a new key', 409),
            'expired': (
                'the key is too old; its outcome is no longer known',
                410,
            ),
            'mismatch': ('the key was used for another request', 422),
        }
        reason, status = reasons[outcome.state]
        ran = errors.Ran.UNKNOWN
        if outcome.state in ('closed', 'mismatch'):
            ran = errors.Ran.NO
        raise errors.RequestError(reason, 'claim', ran=ran, status=status)

    async def _run_claimed(
        self,
        service: str,
        row: messages.Row,
        call: ports.ServiceRequest,
        claim: messages.Claim,
    ) -> ports.ServiceResponse:
        tried: set[str] = set()
        deadline = time.monotonic() + row.deadline_s
        while len(tried) < MAX_TRIES and time.monotonic() < deadline:
            state = self._choose(service, row, call, tried)
            if state is None:
                break
            tried.add(state.server.name)
            try:
                answer = await self._call(state, call)
            except errors.BackendError as error:
                if error.step == 'connect':
                    continue
                await self._end_claim(
                    claim, errors.Ran.UNKNOWN, 0, b'', RECORD_WAIT_S
                )
                raise errors.RequestError(
                    error.reason,
                    error.step,
                    error.peer,
                    ran=errors.Ran.UNKNOWN,
                    status=502,
                ) from error
            await self._record_outcome(claim, answer)
            return answer
        return await self._refuse_claimed(service, claim)

    async def _refuse_claimed(
        self, service: str, claim: messages.Claim
    ) -> t.NoReturn:
        """Close the claim, then report that the call was not made.

        In the opposite order, a retry could find a claim that still looks
        as if the call were in progress.
        """
        closed = await self._end_claim(
            claim, errors.Ran.NO, 0, b'', CLOSE_CLAIM_TIMEOUT_S
        )
        refusal = self._no_server_error(service)
        if not closed:
            refusal.ran = errors.Ran.UNKNOWN
        raise refusal

    async def _record_outcome(
        self, claim: messages.Claim, answer: ports.ServiceResponse
    ) -> None:
        """Record an outcome, waiting only briefly.

        If control has no leader, recording is retried in the background;
        until then, a repeated key gets the reply for a call in progress.
        """
        task = self._record_in_background(
            claim, errors.Ran.YES, answer.status, answer.body
        )
        await asyncio.wait([task], timeout=RECORD_WAIT_S)

    def _record_in_background(
        self,
        claim: messages.Claim,
        ran: errors.Ran,
        status: int = 0,
        body: bytes = b'',
    ) -> asyncio.Task[bool]:
        task = asyncio.get_running_loop().create_task(
            self._end_claim(claim, ran, status, body)
        )
        self.recording_tasks.add(task)
        task.add_done_callback(self.recording_tasks.discard)
        return task

    async def _end_claim(
        self,
        claim: messages.Claim,
        ran: errors.Ran,
        status: int,
        body: bytes,
        timeout_s: float = END_CLAIM_TIMEOUT_S,
    ) -> bool:
        if len(body) > MAX_RECORDED_BYTES:
            ran, status, body = errors.Ran.UNKNOWN, 0, b''
        claim_end = messages.ClaimEnd(
            claim.key, claim.holder, ran.value, status, body
        )
        try:
            await self.control.propose(claim_end, timeout_s)
        except errors.PeerError:
            self.metrics.count('claims.end_lost')
            return False
        return True

    def _choose(
        self,
        service: str,
        row: messages.Row,
        call: ports.ServiceRequest,
        tried: set[str],
    ) -> decisions.BackendState | None:
        choice = self.router.choose_service(
            service, time.monotonic(), avoid=tried
        )
        state = choice.state
        if state is not None and state.server.name in tried:
            state = None
        node.log_decision(
            'route',
            request=call.request,
            account=row.account,
            candidates=choice.candidates,
            chosen=state.server.name if state else '',
            reason=choice.reason,
        )
        return state

    async def _call(
        self, state: decisions.BackendState, call: ports.ServiceRequest
    ) -> ports.ServiceResponse:
        state.own_requests += 1
        started = time.monotonic()
        try:
            answer = await self.services.call(state.server.address, call)
        except errors.BackendError:
            state.record_failure(time.monotonic())
            self.metrics.count('services.failed')
            raise
        finally:
            state.own_requests -= 1
            self.metrics.time('services', time.monotonic() - started)
        state.record_success()
        return answer

    def _no_server_error(self, service: str) -> errors.RequestError:
        listed = self.router.has_kind(service)
        return errors.RequestError(
            f'no server for service {service!r}',
            'route',
            status=503 if listed else 404,
            retry_after=RETRY_AFTER_S if listed else None,
        )


def _checked_key_time(key: str) -> float:
    key_time = _requests.key_time(key)
    if key_time > time.time() + MAX_KEY_AHEAD_S:
        raise _requests.bad_request(
            'the idempotency key is dated in the future'
        )
    return key_time
