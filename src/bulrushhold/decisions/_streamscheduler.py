"""Orders the waiting streams of one service and grants them engines.

A stream is queued only if the work that is queued already, the engines'
prompts and the capacity reserved for others leave time for it to be on time.
This is tested against the latest start times of all queued streams, so that
queueing a stream is a commitment that later arrivals don't break. If it can't
be on time, it is queued behind the others while the overload is transient, or
else refused at once.
"""

import collections
import itertools
import math
import random
import typing as t

from bulrushhold.decisions import _commitments
from bulrushhold.decisions import _engineroom
from bulrushhold.decisions import _promisedreturns
from bulrushhold.decisions import _schedulerstate
from bulrushhold.decisions import _streamprediction
from bulrushhold.decisions import _streamqueue
from bulrushhold import messages

# An engine gets another prompt when it will be done with the others in this
# time, which covers the messages to the entry and the engine, and engines that
# are done early. With 0.6 s, urgent streams wait too often behind others at
# engines that become slow.
LOOKAHEAD_S: t.Final = 0.3
# Queued streams are served by start time instead of priority once the first
# of them has less than this to spare.
URGENT_S: t.Final = 0.5
# Entries poll every 0.2 s.
POLL_TTL_S: t.Final = 0.6
# Time for which a decision can be polled for.
DECISION_TTL_S: t.Final = 1.0
# Least work of a stream, also if the engines' speed isn't known.
MIN_WORK_S: t.Final = 0.001
# Streams tried for the engines that are free.
MAX_TRIED: t.Final = 8
# Left for the events after the first one when a late stream is granted.
SERVICE_TIME_S: t.Final = 5.0
# Grants per ask, so that none takes long after a report that many engines are
# free; `advance` grants the rest.
MAX_GRANTS_PER_ASK: t.Final = 8

UNKNOWN: t.Final = messages.StreamDecision(messages.SchedulingStatus.UNKNOWN)


class StreamScheduler:
    """Scheduling home of one service.

    Tickets must be unique among all entries that ask it.

    :param rng: decides between equally suitable engines.
    :param partial: it has a share of the engines only. Refused callers may
        return to another scheduler, so that no work is reserved for them. More
        urgent streams may make others late, since too few engines are about to
        be free for a burst of them to be served otherwise. Its entry cancels
        streams that no longer wait.
    """

    def __init__(self, rng: random.Random, *, partial: bool = False) -> None:
        self.partial = partial
        self.ledger = _engineroom.EngineLedger(rng)
        commitments = _commitments.Commitments()
        self.returns = _promisedreturns.PromisedReturns(commitments)
        self.queue = _streamqueue.StreamQueue(commitments)
        self.predictor = _streamprediction.StreamPredictor(
            self.ledger, self.queue, self.returns, partial=partial
        )
        self.rates = self.predictor.rates
        self.counters = _schedulerstate.FlowCounters()
        self.streams: dict[str, _streamqueue.QueuedStream] = {}
        # When queued streams were last polled, the latest one last.
        self.polled_at: dict[str, float] = {}
        self.decided: collections.deque[
            tuple[float, _streamqueue.QueuedStream]
        ] = collections.deque()
        self.outbox: dict[str, messages.StreamDecision] = {}

    def update(
        self,
        engines: t.Iterable[_engineroom.EngineRoom],
        token_s: float,
        now: float,
    ) -> None:
        """Replace the engines by those that can be used now.

        :param token_s: time per prompt token at an engine of mean speed.
        """
        lost = self.ledger.update(engines, token_s, now)
        self.predictor.shares_at = -math.inf
        if lost:
            self._predict_again(now)

    def ask(
        self, ask: messages.StreamAsk, now: float
    ) -> messages.StreamDecision:
        """Decide on a stream that has just arrived.

        A ticket that is known already is decided on anew, e.g. with an engine
        excluded; its work isn't counted as requested again, nor is that of a
        stream that was queued elsewhere.
        """
        self._expire(now)
        known = ask.ticket in self.streams
        self.cancel(ask.ticket, now)
        returned = self.returns.due(ask.fingerprint, now)
        stream = self._stream(ask, now)
        if not (known or returned or ask.committed):
            self.rates.add(stream.flow, stream.work, now)
        self.streams[ask.ticket] = stream
        if not self._grant_at_once(stream, now):
            self._queue_or_refuse(stream, returned, now)
        elif returned:
            self.returns.take(ask.fingerprint)
        self._dispatch(now, MAX_GRANTS_PER_ASK)
        self.outbox.pop(ask.ticket, None)
        return stream.decision

    def poll(self, ticket: str, now: float) -> messages.StreamDecision:
        """Return the decision on a stream, or that it's still queued."""
        stream = self.streams.get(ticket)
        if stream is None:
            return UNKNOWN
        if stream.queued:
            del self.polled_at[ticket]
            self.polled_at[ticket] = now
        return stream.decision

    def advance(self, now: float) -> list[tuple[str, messages.StreamDecision]]:
        """Return the decisions taken since the last call, by ticket.

        Drops streams that weren't polled for 0.6 s, unless it's partial.
        """
        self._expire(now)
        while self.polled_at and not self.partial:
            ticket, polled_at = next(iter(self.polled_at.items()))
            if now - polled_at <= POLL_TTL_S:
                break
            self.cancel(ticket, now)
        self._dispatch(now)
        decisions = list(self.outbox.items())
        self.outbox.clear()
        return decisions

    def cancel(self, ticket: str, now: float) -> None:
        """Forget a stream, and release the engine granted to it."""
        stream = self.streams.pop(ticket, None)
        if stream is None:
            return
        self.outbox.pop(ticket, None)
        if stream.queued:
            self.queue.remove(stream)
            del self.polled_at[ticket]
            self.counters.queued(stream.flow, -1)
        elif stream.decision.engine:
            self.ledger.release(stream.decision.engine, ticket, now)

    def snapshot(self, now: float) -> _schedulerstate.SchedulerState:
        """Return the queue, counters and grants."""
        demands = self.rates.demands(now)
        return _schedulerstate.SchedulerState(
            *self.counters.copies(),
            self.queue.waiting,
            sum(s.late for s in self.streams.values()),
            len(self.returns.returns),
            {
                ident: len(engine.grants)
                for ident, engine in self.ledger.engines.items()
                if engine.grants
            },
            self.ledger.capacity,
            sum(d * n for groups in demands.values() for d, n in groups),
        )

    def _stream(
        self, ask: messages.StreamAsk, now: float
    ) -> _streamqueue.QueuedStream:
        work = max(MIN_WORK_S, ask.tokens * self.ledger.token_s)
        start_at = self.predictor.start_at(
            work, ask.objective_s, ask.remaining_s, now
        )
        return _streamqueue.QueuedStream(
            ask,
            now,
            work,
            start_at,
            now + ask.objective_s,
            now + ask.remaining_s,
        )

    def _grant_at_once(
        self, stream: _streamqueue.QueuedStream, now: float
    ) -> bool:
        """Grant the best engine if nobody waits and engines are idle.

        That may be a fast engine which still reads a prompt.
        """
        if self.queue.waiting or not self.ledger.free_within(LOOKAHEAD_S, now):
            return False
        within_s = LOOKAHEAD_S + stream.work * self.ledger.slowness
        engine = self.ledger.best(stream.ask, within_s, now)
        if engine is None:
            return False
        token_s = self.ledger.token_s
        if engine.expected_s(stream.ask, token_s, now) > (
            stream.ask.remaining_s
        ):
            return False
        self.predictor.count_minimum(stream, now)
        self._grant(stream, engine, now)
        return True

    def _queue_or_refuse(
        self,
        stream: _streamqueue.QueuedStream,
        returned: bool,
        now: float,
    ) -> None:
        if not self.ledger.suits(stream.ask):
            self._refuse(stream, now)
            return
        if returned:
            promised = self.returns.take(stream.ask.fingerprint)
            assert promised is not None
            stream.promised = True
            stream.start_at = promised.start_at
            stream.due_at = math.inf
        if returned or self.predictor.can_be_on_time(stream, now):
            self.predictor.count_minimum(stream, now)
            self.queue.push(stream)
        elif self.predictor.can_wait(stream, now):
            self.queue.push_late(stream)
        elif stream.ask.committed:
            # A stream that was queued isn't refused for a change of the home.
            self._push_extended(stream, now)
        else:
            self._refuse(stream, now)
            return
        self.polled_at[stream.ask.ticket] = now
        self.counters.queued(stream.flow, 1)

    def _refuse(self, stream: _streamqueue.QueuedStream, now: float) -> None:
        retry_after_s = self.predictor.retry_after_s(stream, now)
        decision = messages.StreamDecision(
            messages.SchedulingStatus.REFUSED, retry_after_s=retry_after_s
        )
        self.counters.refused(stream.flow)
        self._decide(stream, decision, now)

    def _dispatch(self, now: float, limit: int | None = None) -> None:
        """Grant engines that are about to be free to waiting streams."""
        if not self.queue.waiting:
            return
        self._demote_overdue(now)
        for _ in range(self.queue.waiting if limit is None else limit):
            if not self.ledger.free_within(LOOKAHEAD_S, now):
                return
            urgent = (
                not self.partial and self.predictor.deficit(URGENT_S, now) > 0
            )
            if not self._grant_first(self.queue.candidates(urgent), now):
                return

    def _grant_first(
        self,
        candidates: t.Iterator[_streamqueue.QueuedStream],
        now: float,
    ) -> bool:
        for stream in itertools.islice(candidates, MAX_TRIED):
            engine = self.ledger.best(stream.ask, LOOKAHEAD_S, now)
            if engine is not None:
                self._leave_queue(stream)
                self.queue.take(stream)
                self._grant(stream, engine, now)
                return True
        return False

    def _grant(
        self,
        stream: _streamqueue.QueuedStream,
        engine: _engineroom.Engine,
        now: float,
    ) -> None:
        self.ledger.grant(engine, stream.ask.ticket, stream.ask, now)
        self.counters.granted(stream.flow, now - stream.arrived_at)
        decision = messages.StreamDecision(
            messages.SchedulingStatus.GRANTED, engine.room.ident
        )
        self._decide(stream, decision, now)

    def _decide(
        self,
        stream: _streamqueue.QueuedStream,
        decision: messages.StreamDecision,
        now: float,
    ) -> None:
        stream.decision = decision
        self.outbox[stream.ask.ticket] = decision
        self.decided.append((now, stream))

    def _leave_queue(self, stream: _streamqueue.QueuedStream) -> None:
        del self.polled_at[stream.ask.ticket]
        self.counters.queued(stream.flow, -1)

    def _demote_overdue(self, now: float) -> None:
        """Move streams that can't be on time any more behind the others.

        Happens if engines are slower than predicted. Those that couldn't be
        served before their callers give up are refused.
        """
        while (stream := self.queue.earliest()) is not None:
            if now + stream.work <= stream.due_at:
                break
            late_work = self.queue.late_work
            if self.predictor.has_late_share(stream, late_work, now):
                self.queue.remove(stream)
                self.queue.push_late(stream)
            elif stream.ask.committed:
                self.queue.remove(stream)
                self._push_extended(stream, now)
            else:
                self._drop_from_queue(stream, now)
        while (stream := self.queue.first_late()) is not None:
            if now + stream.work <= stream.give_up_at:
                break
            self._drop_from_queue(stream, now)

    def _push_extended(
        self, stream: _streamqueue.QueuedStream, now: float
    ) -> None:
        """Queue a stream to be served before its caller gives up."""
        remaining_s = stream.give_up_at - now - SERVICE_TIME_S
        stream.start_at = self.predictor.start_at(
            stream.work, remaining_s, remaining_s, now
        )
        stream.due_at = math.inf
        self.queue.push(stream)

    def _drop_from_queue(
        self, stream: _streamqueue.QueuedStream, now: float
    ) -> None:
        self.queue.remove(stream)
        self._leave_queue(stream)
        self._refuse(stream, now)

    def _predict_again(self, now: float) -> None:
        """Refuse streams that can't be served after a loss of engines."""
        if self.predictor.deficit(0.0, now) > 0:
            waiting = [s for s in self.streams.values() if s.step is not None]
            waiting.sort(key=lambda s: (s.ask.priority, s.start_at))
            for stream in waiting:
                self.queue.remove(stream)
            for stream in waiting:
                self._requeue(stream, now)
        late_work = 0.0
        for stream in [s for s in self.streams.values() if s.late]:
            if self.predictor.has_late_share(stream, late_work, now):
                late_work += stream.work
            elif stream.ask.committed and self.ledger.suits(stream.ask):
                self.queue.remove(stream)
                self._push_extended(stream, now)
            else:
                self._drop_from_queue(stream, now)

    def _requeue(self, stream: _streamqueue.QueuedStream, now: float) -> None:
        if self.predictor.can_still_be_on_time(stream, now):
            self.queue.push(stream)
        elif self.predictor.can_wait(stream, now):
            self.queue.push_late(stream)
        elif stream.ask.committed and self.ledger.suits(stream.ask):
            self._push_extended(stream, now)
        else:
            self._leave_queue(stream)
            self._refuse(stream, now)

    def _expire(self, now: float) -> None:
        self.ledger.expire(now)
        self.returns.expire(now)
        while self.decided and now - self.decided[0][0] > DECISION_TTL_S:
            _, stream = self.decided.popleft()
            if self.streams.get(stream.ask.ticket) is stream:
                del self.streams[stream.ask.ticket]
