"""Finds out whether a lost engine has crashed, and under which contents."""

import asyncio
import typing as t

from bulrushhold import decisions
from bulrushhold.entry import _attempts
from bulrushhold.entry import _generation
from bulrushhold.entry import _quarantine
from bulrushhold import node
from bulrushhold import ports

QUARANTINE_REASON: t.Final = 'two engines died while they ran this content'
RunningAttempts = list[tuple[_generation.Generation, _attempts.Attempt]]


class CrashProbes:
    """Probes engines that lost a stream, each at most once at a time.

    ``tasks`` maps the names of engines to their running probes.
    """

    def __init__(
        self,
        engines: ports.EngineClient,
        quarantine: _quarantine.Quarantine,
        crash_tracker: decisions.EngineCrashTracker,
    ) -> None:
        self.engines = engines
        self.quarantine = quarantine
        self.crash_tracker = crash_tracker
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def start(
        self,
        state: decisions.BackendState,
        running_attempts: RunningAttempts,
    ) -> None:
        """Probe an engine unless a probe is running.

        :param running_attempts: attempts that the engine was running.
        """
        name = state.server.name
        if name in self.tasks:
            return
        task = asyncio.get_running_loop().create_task(
            self._probe(state, running_attempts)
        )
        self.tasks[name] = task
        task.add_done_callback(lambda _: self.tasks.pop(name, None))

    async def wait_for(self, generation: _generation.Generation) -> None:
        """Delay a possible poison request until its engines are probed.

        Otherwise a poison request could crash a third engine before the
        second crash has been counted.
        """
        if not self.crash_tracker.may_be_poison(generation.spec.fingerprint):
            return
        for name in generation.failed_engines & self.tasks.keys():
            task = self.tasks.get(name)
            if task is not None:
                await asyncio.wait([task])

    async def _probe(
        self,
        state: decisions.BackendState,
        running_attempts: RunningAttempts,
    ) -> None:
        """Record a crash if the engine refuses connections.

        If only the stream broke, no request is blamed.
        """
        if await self.engines.probe(state.server.address):
            return
        # A request that couldn't connect can't have crashed the engine.
        connected = [item for item in running_attempts if item[1].connected]
        for _, attempt in connected:
            attempt.crash_counted = True
        contents = [g.spec.fingerprint for g, _ in connected]
        node.log_decision(
            'engine died',
            engine=state.server.name,
            suspects=len(set(contents)),
            reason='connection refused',
        )
        quarantined = self.crash_tracker.record_engine_crash(contents)
        for fingerprint in quarantined:
            self.quarantine.add(fingerprint, QUARANTINE_REASON)
        unconfirmed = sorted(set(contents) - set(quarantined))
        if unconfirmed:
            self.quarantine.report_crash(unconfirmed)
