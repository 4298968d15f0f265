"""Simulates demand that is uneven between prompts and data centres."""

import asyncio
import collections
import collections.abc as cabc
import contextlib
import typing as t

import attrs

from bulrushhold import calls
from bulrushhold.emulator import _engine
from bulrushhold.emulator import _system
from bulrushhold.emulator import _workload
from bulrushhold import errors

HOT_SEGMENT: t.Final = 'hot'


@attrs.frozen
class Demand:
    """Which prompts callers send, and to which data centre's entries.

    :param hot_share: share of the streams with one prompt, 0 to 1.
    :param hot_tokens: length of that prompt.
    :param weights: by data centre, its part of the arrivals; the others' is 1.
    """

    hot_share: float = 0.0
    hot_tokens: int = 8000
    weights: cabc.Mapping[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Stream:
    """A stream and its result.

    :param data_centre: of the entry that its caller sent it to.
    """

    segment: str
    tokens: int
    data_centre: str
    outcome: _workload.Outcome


@attrs.define
class EngineUse:
    """The most that an engine had to hold at a time.

    :ivar streams: those that were running or queued.
    :ivar tokens: memory that they and the copies of others needed.
    """

    streams: int = 0
    tokens: int = 0


class DemandSystem(_system.System):
    """A system whose callers send each stream once.

    :ivar streams: all streams, in order of their arrival.
    :ivar uses: by address, what engines had to hold.
    :ivar hot_tokens_read: tokens of ``HOT_SEGMENT`` that engines had to read.
    """

    def __init__(
        self,
        profiles: cabc.Sequence[_engine.EngineProfile],
        entries: int,
        seed: int,
    ) -> None:
        super().__init__(profiles, entries, seed)
        self.streams: list[Stream] = []
        self.uses: dict[str, EngineUse] = collections.defaultdict(EngineUse)
        self.hot_tokens_read = 0
        for engine in self.engines.values():
            engine.on_enqueue = self._record_use

    async def send_streams(
        self,
        phases: cabc.Sequence[tuple[_workload.Workload, Demand]],
    ) -> None:
        """Send the streams of successive phases and await their ends.

        Arrivals are a Poisson process, of ``streams_per_s`` in each phase.
        """
        tasks = []
        begin = _workload.emulated_now()
        for workload, demand in phases:
            begin += workload.duration_s
            while _workload.emulated_now() < begin:
                await asyncio.sleep(
                    self.rng.expovariate(workload.streams_per_s)
                )
                tasks.append(
                    asyncio.ensure_future(self._send(workload, demand))
                )
        await asyncio.gather(*tasks)

    async def _send(
        self, workload: _workload.Workload, demand: Demand
    ) -> None:
        tokens = self._sample(workload.prompt_tokens, workload.relative_stddev)
        segment = f'p{len(self.streams)}'
        output_tokens = self._sample(
            workload.output_tokens, workload.relative_stddev
        )
        if self.rng.random() < demand.hot_share:
            segment, tokens = HOT_SEGMENT, demand.hot_tokens
            output_tokens = workload.output_tokens
        self.lengths[segment] = output_tokens
        (entry,) = self.rng.choices(
            self.entries,
            [
                demand.weights.get(entry.placement.data_centre, 1.0)
                for entry in self.entries
            ],
        )
        now = _workload.emulated_now()
        outcome = _workload.Outcome(now)
        ident = f's{len(self.streams)}'
        self.streams.append(
            Stream(segment, tokens, entry.placement.data_centre, outcome)
        )
        prompt = calls.Prompt(tokens, workload.output_tokens, (segment,))
        job = _workload.make_job(
            workload, ident, prompt, now, workload.timeout_s
        )
        entry.budget.count_request(_workload.SERVICE, now)
        with contextlib.suppress(errors.RequestError):
            await entry.forward(job, _workload.Caller(outcome))

    def _record_use(self, engine: _engine.Engine, run: _engine.Run) -> None:
        use = self.uses[engine.address]
        held = engine.running + engine.queue
        use.streams = max(use.streams, len(held))
        queued_tokens = sum(queued.kv_tokens for queued in engine.queue)
        use.tokens = max(use.tokens, engine.kv_used() + queued_tokens)
        if run.segment == HOT_SEGMENT:
            self.hot_tokens_read += run.unread_tokens
