"""Runs generations: attempts on engines until the answer is complete."""

import asyncio
import contextlib
import time
import typing as t

import loguru

from bulrushhold import decisions
from bulrushhold.entry import _admission
from bulrushhold.entry import _attemptlimits
from bulrushhold.entry import _attempts
from bulrushhold.entry import _crashprobes
from bulrushhold.entry import _enginechoice
from bulrushhold.entry import _generation
from bulrushhold.entry import _quarantine
from bulrushhold.entry import _replication
from bulrushhold import errors
from bulrushhold import node
from bulrushhold import ports
from bulrushhold import settings

NO_ENGINE_RETRY_S: t.Final = 0.1


class GenerationRunner:
    """Dispatches generations to engines, and recovers from lost engines.

    ``running`` maps each engine to the attempts on it.
    """

    def __init__(
        self,
        config: settings.Recovery,
        router: decisions.Router,
        engines: ports.EngineClient,
        policy: decisions.RecoveryPolicy,
        replicator: _replication.TranscriptReplicator,
        admission: _admission.Admission,
        quarantine: _quarantine.Quarantine,
        metrics: ports.Metrics,
    ) -> None:
        self.config = config
        self.router = router
        self.engines = engines
        self.policy = policy
        self.replicator = replicator
        self.admission = admission
        self.quarantine = quarantine
        self.metrics = metrics
        self.retries = decisions.AccountRetryBudget()
        self.limits = _attemptlimits.AttemptLimits(
            config.max_attempts, quarantine, self.retries
        )
        self.crash_tracker = decisions.EngineCrashTracker()
        self.running: dict[
            str, list[tuple[_generation.Generation, _attempts.Attempt]]
        ] = {}
        self.chooser = _enginechoice.EngineChooser(
            router, engines, self.crash_tracker
        )
        self.crash_probes = _crashprobes.CrashProbes(
            engines, quarantine, self.crash_tracker
        )
        self.background: set[asyncio.Task[None]] = set()

    async def run(self, generation: _generation.Generation) -> None:
        """Run a generation until it is complete or has failed."""
        live: dict[int, _attempts.Attempt] = {}
        slot: _admission.Slot | None = None
        initial_length = len(generation.transcript.tokens)
        try:
            generation.lifecycle.trigger('queue')
            slot = await self.admission.acquire(generation.spec.row)
            await self._run_attempts(generation, live)
        except errors.RequestError as error:
            if not generation.lifecycle.ended:
                generation.lifecycle.trigger('refuse')
                generation.fail(error)
        except Exception:
            # Without an error the caller would wait forever, since no task
            # runs this generation any more.
            loguru.logger.exception('generation failed')
            if not generation.lifecycle.ended:
                generation.lifecycle.trigger('refuse')
                generation.fail(
                    errors.RequestError(
                        'internal error',
                        'generation',
                        ran=errors.Ran.UNKNOWN,
                        status=500,
                    )
                )
        finally:
            for attempt in list(live.values()):
                self._stop_attempt(generation, attempt, live)
            if slot is not None:
                generated = len(generation.transcript.tokens) - initial_length
                self.admission.release(slot, generated)

    async def _run_attempts(
        self,
        generation: _generation.Generation,
        live: dict[int, _attempts.Attempt],
    ) -> None:
        started = time.monotonic()
        while not generation.transcript.finish:
            if generation.lifecycle.ended:
                return
            if not live:
                await self._start_attempt(generation, live, started)
                continue
            self._stop_losers(generation, live)
            await self._wait_for_change(generation, live)
        generation.lifecycle.trigger('finish')
        self.crash_tracker.clear(generation.spec.fingerprint)

    # Dispatch

    async def _start_attempt(
        self,
        generation: _generation.Generation,
        live: dict[int, _attempts.Attempt],
        started: float,
        *,
        avoid: frozenset[str] = frozenset(),
    ) -> None:
        spec = generation.spec
        transcript = generation.transcript
        await self.crash_probes.wait_for(generation)
        refusal = self.limits.refusal(generation)
        if refusal is not None:
            raise refusal
        choice = self.chooser.choose(generation, avoid)
        node.log_decision(
            'route',
            request=generation.key,
            account=spec.account,
            attempt=transcript.last_attempt + 1,
            offset=len(transcript.tokens),
            candidates=choice.candidates,
            chosen=choice.chosen,
            reason=choice.reason,
        )
        if choice.state is None:
            waited_s = time.monotonic() - started
            recovering = transcript.last_attempt > 0
            if waited_s > spec.row.deadline_s and not recovering:
                raise _attemptlimits.make_refusal(generation, choice.reason)
            if waited_s > spec.row.deadline_s + 30:
                raise _attemptlimits.make_refusal(generation, choice.reason)
            if not self.chooser.is_listed(generation):
                raise _attemptlimits.make_refusal(generation, choice.reason)
            await asyncio.sleep(NO_ENGINE_RETRY_S)
            return
        self._dispatch(generation, live, choice.state)

    def _dispatch(
        self,
        generation: _generation.Generation,
        live: dict[int, _attempts.Attempt],
        state: decisions.BackendState,
    ) -> None:
        transcript = generation.transcript
        version = state.server.models[generation.spec.model]
        number = transcript.start_attempt(version)
        may_be_poison = self.crash_tracker.may_be_poison(
            generation.spec.fingerprint
        )
        attempt = _attempts.Attempt(
            number, state, time.monotonic(), may_be_poison=may_be_poison
        )
        live[number] = attempt
        state.own_requests += 1
        state.poison_candidates += may_be_poison
        self.running.setdefault(state.server.name, []).append(
            (generation, attempt)
        )
        if generation.lifecycle.state != 'streaming':
            generation.lifecycle.trigger('dispatch')
        self.retries.count(generation.spec.account, number)
        self.metrics.count('attempts')
        attempt.task = asyncio.get_running_loop().create_task(
            self._read_events(generation, attempt)
        )
        # A callback, since a task cancelled before it starts runs no code.
        attempt.task.add_done_callback(
            lambda _: self._detach(generation, attempt)
        )

    # Reading

    async def _read_events(
        self, generation: _generation.Generation, attempt: _attempts.Attempt
    ) -> None:
        spec = generation.spec
        state = attempt.state
        address = state.server.address
        engine_request = ports.GenerationRequest(
            generation.key,
            attempt.number,
            spec.model,
            spec.messages,
            list(generation.transcript.tokens),
            spec.max_tokens,
            spec.row.priority,
            spec.row.deadline_s,
        )

        def on_event(event: ports.Event) -> bool:
            return self._accept_event(generation, attempt, event)

        try:
            await self.engines.run(address, engine_request, on_event)
        except errors.EngineRefusedError as error:
            self._log_loss(generation, attempt, error)
            self._on_engine_refused(generation, attempt, error)
        except errors.EngineLostError as error:
            self._log_loss(generation, attempt, error)
            attempt.connected = error.step != 'connect'
            self._on_engine_lost(generation, attempt)
        finally:
            self.chooser.apply_load_report(state)
            generation.transcript.end_attempt(attempt.number)
            generation.attempt_changed.set()

    def _accept_event(
        self,
        generation: _generation.Generation,
        attempt: _attempts.Attempt,
        event: ports.Event,
    ) -> bool:
        """Process an event; return whether to continue reading."""
        transcript = generation.transcript
        result = transcript.accept(
            event.request,
            event.attempt,
            event.offset,
            event.token,
            event.finish,
        )
        if result is not decisions.AcceptResult.ACCEPTED:
            return self._reject_event(generation, attempt, result)
        now = time.monotonic()
        if attempt.started:
            attempt.state.gaps.add(now - attempt.last_event_at)
        else:
            self._on_first_event(generation, attempt)
        attempt.last_event_at = now
        generation.last_token_at = now
        self.policy.budget.delivered += 1
        self.replicator.replicate(generation)
        return not event.finish

    def _on_first_event(
        self, generation: _generation.Generation, attempt: _attempts.Attempt
    ) -> None:
        attempt.started = True
        self.policy.budget.refund(attempt.hedge_tokens)
        attempt.state.record_success()
        self.chooser.apply_load_report(attempt.state)
        if generation.lifecycle.state in ('dispatched', 'recovering'):
            generation.lifecycle.trigger('stream')
        if generation.last_token_at:
            gap = time.monotonic() - generation.last_token_at
            self.metrics.time('resume', gap)
        # Wakes the generation's task, which stops the other attempts.
        generation.attempt_changed.set()

    def _reject_event(
        self,
        generation: _generation.Generation,
        attempt: _attempts.Attempt,
        result: decisions.AcceptResult,
    ) -> bool:
        self.metrics.count(f'tokens.{result.value}')
        loguru.logger.bind(
            request=generation.key,
            attempt=attempt.number,
            engine=attempt.state.server.name,
        ).warning('token dropped: {}', result.value)
        return result is decisions.AcceptResult.DUPLICATE

    def _detach(
        self, generation: _generation.Generation, attempt: _attempts.Attempt
    ) -> None:
        state = attempt.state
        state.own_requests -= 1
        state.poison_candidates -= attempt.may_be_poison
        running_attempts = self.running.get(state.server.name, [])
        with contextlib.suppress(ValueError):
            running_attempts.remove((generation, attempt))

    # Failures

    def _on_engine_refused(
        self,
        generation: _generation.Generation,
        attempt: _attempts.Attempt,
        error: errors.EngineRefusedError,
    ) -> None:
        attempt.state.record_failure(time.monotonic())
        generation.failed_engines.add(attempt.state.server.name)
        if error.final and not generation.lifecycle.ended:
            # The request itself is invalid; any engine would refuse it.
            attempt.state.record_success()
            generation.lifecycle.trigger('refuse')
            generation.fail(
                errors.RequestError(
                    error.reason,
                    error.step,
                    error.peer,
                    ran=errors.Ran.UNKNOWN,
                    status=400,
                )
            )

    def _on_engine_lost(
        self, generation: _generation.Generation, attempt: _attempts.Attempt
    ) -> None:
        state = attempt.state
        state.record_failure(time.monotonic())
        generation.failed_engines.add(state.server.name)
        self.metrics.count('engines.lost')
        if not attempt.crash_counted and attempt.connected:
            self.crash_probes.start(
                state, list(self.running.get(state.server.name, []))
            )

    async def _wait_for_change(
        self,
        generation: _generation.Generation,
        live: dict[int, _attempts.Attempt],
    ) -> None:
        """Wait until an attempt sends its first event, ends or stalls."""
        generation.attempt_changed.clear()
        self._remove_ended(generation, live)
        if not live or generation.transcript.finish:
            return
        timer = _attempts.StallTimer(self.policy, generation, live)
        try:
            await generation.attempt_changed.wait()
        finally:
            timer.cancel()
        self._remove_ended(generation, live)
        if live and not generation.transcript.finish:
            await self._handle_stall(generation, live)

    async def _handle_stall(
        self,
        generation: _generation.Generation,
        live: dict[int, _attempts.Attempt],
    ) -> None:
        most_recent = max(live.values(), key=lambda a: a.last_event_at)
        spec = generation.spec
        cost = spec.prompt_tokens + len(generation.transcript.tokens)
        action = self.policy.on_stall(
            time.monotonic() - most_recent.last_event_at,
            most_recent.state.gaps,
            started=most_recent.started,
            hedged=len(live) > 1,
            cost=cost,
        )
        if action is decisions.Action.WAIT:
            return
        if not self._may_leave(generation, live, most_recent):
            if action is decisions.Action.HEDGE:
                self.policy.budget.refund(cost)
            await self._wait_briefly(generation)
            return
        node.log_decision(
            'silence',
            request=generation.key,
            engine=most_recent.state.server.name,
            action=action.value,
            silence_s=round(time.monotonic() - most_recent.last_event_at, 3),
        )
        if action is decisions.Action.HEDGE:
            in_use = frozenset(a.state.server.name for a in live.values())
            await self._start_attempt(
                generation, live, time.monotonic(), avoid=in_use
            )
            for attempt in live.values():
                if attempt.state.server.name not in in_use:
                    attempt.hedge_tokens = cost
            return
        for attempt in list(live.values()):
            attempt.state.record_failure(time.monotonic())
            generation.failed_engines.add(attempt.state.server.name)
            generation.stalled_attempts += attempt.started
            self._stop_attempt(generation, attempt, live)

    async def _wait_briefly(self, generation: _generation.Generation) -> None:
        generation.attempt_changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(NO_ENGINE_RETRY_S):
                await generation.attempt_changed.wait()

    def _may_leave(
        self,
        generation: _generation.Generation,
        live: dict[int, _attempts.Attempt],
        most_recent: _attempts.Attempt,
    ) -> bool:
        """Whether to run a stalled generation on another engine.

        Its engine may only be silent for a moment. Unless another one can
        take over, the generation would end, or read its prompt anew for
        nothing.
        """
        idle_s = time.monotonic() - most_recent.last_event_at
        if idle_s >= self.config.first_token_s:
            return True
        in_use = frozenset(a.state.server.name for a in live.values())
        allowed = self.limits.refusal(generation) is None
        return allowed and self.chooser.has_other(generation, in_use)

    def _stop_losers(
        self,
        generation: _generation.Generation,
        live: dict[int, _attempts.Attempt],
    ) -> None:
        """Stop the attempts that are no longer active in the transcript."""
        active_attempts = generation.transcript.active_attempts
        for attempt in list(live.values()):
            ended = attempt.task is not None and attempt.task.done()
            if attempt.number not in active_attempts and not ended:
                self._stop_attempt(generation, attempt, live)

    def _remove_ended(
        self,
        generation: _generation.Generation,
        live: dict[int, _attempts.Attempt],
    ) -> None:
        for number, attempt in list(live.items()):
            if attempt.task is not None and attempt.task.done():
                del live[number]
        recovering = not live and not generation.transcript.finish
        if recovering and not generation.lifecycle.ended:
            if generation.lifecycle.state != 'recovering':
                generation.lifecycle.trigger('lose')
        self._stop_losers(generation, live)

    def _stop_attempt(
        self,
        generation: _generation.Generation,
        attempt: _attempts.Attempt,
        live: dict[int, _attempts.Attempt],
    ) -> None:
        """Stop an attempt, and cancel it at its engine."""
        live.pop(attempt.number, None)
        generation.transcript.end_attempt(attempt.number)
        if attempt.task is None or attempt.task.done():
            return
        attempt.task.cancel()
        cancel_task = asyncio.get_running_loop().create_task(
            self.engines.cancel(
                attempt.state.server.address,
                generation.key,
                attempt.number,
            )
        )
        self.background.add(cancel_task)
        cancel_task.add_done_callback(self.background.discard)
        state = generation.lifecycle.state
        if not live and state in ('dispatched', 'streaming'):
            if not generation.transcript.finish:
                generation.lifecycle.trigger('lose')

    def _log_loss(
        self,
        generation: _generation.Generation,
        attempt: _attempts.Attempt,
        error: errors.BackendError,
    ) -> None:
        loguru.logger.bind(
            request=generation.key, attempt=attempt.number
        ).warning('attempt lost: {}', error)
