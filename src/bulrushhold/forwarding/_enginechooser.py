"""Chooses the engines of one stream."""

import asyncio
import typing as t

import attrs

from bulrushhold import decisions
from bulrushhold.forwarding import _context
from bulrushhold.forwarding import _permits
from bulrushhold.forwarding import _runlimit

# Bounds the size of an ask; an engine that is left out is granted and
# excluded then.
MAX_EXCLUDED: t.Final = 32


class EngineChooser:
    """Chooses an engine for each run of a stream, and for copies of it.

    :ivar memory: tokens of the prompt and half of the output: streams that
        fail have generated about as much.
    :ivar tried: idents of the engines tried in this round.
    :ivar run_limit: bounds the engines that run the stream.
    :ivar version: version that made the events which the caller has; ``None``
        while it has none. What two versions write doesn't fit together.
    :ivar version_check: finds out whether ``version`` is right; ``None`` if
        that is known.
    :ivar unlisted: idents of granted engines that this entry doesn't know.
    :ivar lost_data_centre: data centre of the engine that was lost last.
    """

    def __init__(
        self, context: _context.ForwardingContext, job: _context.Job
    ) -> None:
        self.context = context
        self.job = job
        self.tried: set[str] = set()
        self.run_limit = _runlimit.RunLimit(job.route.max_attempts)
        self.unlisted: set[str] = set()
        self.version = job.version
        self.version_check: asyncio.Task[bool] | None = None
        self.created_at = context.clock()
        self.lost_data_centre = ''
        prompt = job.call.prompt
        self.tokens = prompt.tokens if prompt else 0
        self.memory = (
            prompt.tokens + prompt.max_output_tokens // 2 if prompt else 0
        )
        self.objective = decisions.LatencyObjective(
            self.tokens,
            job.route.aim_s or job.route.timeout_s,
            job.route.gap_s or job.route.aim_s or job.route.timeout_s,
        )
        segments = prompt.segments if prompt else ()
        self.last_segment = segments[-1] if segments else ''

    def estimate_capacity(
        self, excluding: str = '', *, allowed_only: bool = False
    ) -> decisions.CapacityEstimate:
        """Estimate how soon engines could serve this stream's prompt.

        :param excluding: ident of an engine to leave out of the estimate.
        :param allowed_only: leave out engines that may not run the stream.
        """
        return self.context.placement.estimate_capacity(
            self.job.service,
            self.context.clock(),
            objective=self.objective,
            memory=self.memory,
            excluding=excluding,
            barred=self._barred() if allowed_only else frozenset(),
            version=self.version,
        )

    async def choose(self, *, begun: bool) -> _permits.PermittedChoice:
        """Return the next engine to try.

        :param begun: the caller has received some events.
        """
        choice = await _permits.choose_permitted(
            self.context,
            self.job,
            self._choose_engine,
            self.excluded(),
            begun=begun,
            version=self.version,
        )
        if choice.backend is None and self.version_is_gone():
            reason = f'no engine of version {self.version}'
            return attrs.evolve(choice, reason=reason)
        return choice

    async def version_is_known(self) -> bool:
        """Return whether ``version`` is the one that began the stream."""
        return self.version_check is None or await self.version_check

    async def may_resume_at(self, engine: decisions.BackendServer) -> bool:
        """Return whether an engine is known to run the stream's version.

        Any engine may begin a stream.
        """
        if self.version is None:
            return True
        checks = self.context.version_checks
        return await checks.runs_listed_version(engine)

    def version_is_gone(self) -> bool:
        """Return whether no engine has the version that began the stream.

        Those that were replaced count: the next list may name their new
        instances.
        """
        if self.version is None or self._usable():
            return False
        placement = self.context.placement
        return not any(
            engine.version == self.version
            and engine.ident in placement.replaced_idents
            and not placement.is_leaving(engine)
            for engine in placement.services.get(self.job.service, ())
        )

    def _usable(self) -> list[decisions.BackendServer]:
        return self.context.placement.usable(
            self.job.service, self.context.clock(), version=self.version
        )

    def excluded(self) -> set[str]:
        """Return the idents of engines that the stream must not be sent to.

        Those tried in this round, and once as many engines as its route allows
        have run it, all others.
        """
        barred = self._barred()
        return self.tried | barred if barred else self.tried

    def _barred(self) -> set[str]:
        """Return the idents of engines that may not run the stream."""
        limit = self.run_limit
        if not limit.reached:
            return set()
        for ident in list(limit.engines):
            engine = self.context.placement.backends.get(ident)
            if engine is None or self.context.placement.is_gone(engine):
                limit.record_ended(ident)
        listed = self.context.placement.services.get(self.job.service, ())
        return {
            engine.ident for engine in listed if not limit.allows(engine.ident)
        }

    def _choose_engine(self) -> decisions.BackendServer | None:
        if self.job.canary and not self.tried and self.version is None:
            engine = self._choose_engine_of(canary=True)
            if engine is not None:
                return engine
        return self._choose_engine_of(canary=False)

    def _choose_engine_of(
        self, *, canary: bool
    ) -> decisions.BackendServer | None:
        return self._cheapest(self.excluded(), canary=canary)

    def _cheapest(
        self, excluded: set[str], *, canary: bool = False
    ) -> decisions.BackendServer | None:
        return self.context.placement.choose_engine(
            self.job.service,
            self.context.clock(),
            tokens=self.tokens,
            segment=self.last_segment,
            tried=excluded,
            avoid_data_centre=self.lost_data_centre,
            canary=canary,
            version=self.version,
            objective=self._remaining_objective(),
        )

    def _remaining_objective(self) -> decisions.LatencyObjective:
        waited_s = self.context.clock() - self.created_at
        return attrs.evolve(
            self.objective, aim_s=max(0.0, self.objective.aim_s - waited_s)
        )

    def expectations(
        self, engine: decisions.BackendServer
    ) -> dict[str, t.Any]:
        """Return log fields of what the choice of an engine was based on.

        Empty if the service's servers don't state their pace. The next best
        engine is unknown if the engine had to be chosen otherwise.
        """
        placement, now = self.context.placement, self.context.clock()
        service = self.job.service
        if service not in placement.server_speeds.services:
            return {}
        token_s = placement.speeds.token_s(service, self.objective, now)
        slowness = placement.slowness(service, now, token_s)
        paces = placement.server_speeds.paces

        def expected_s(server: decisions.BackendServer, new: int) -> float:
            others = placement.current_remote_load(server, now)
            tokens = server.reading + others.reading + new
            seconds = tokens * token_s * slowness.get(server.ident, 1.0)
            return round(seconds, 3)

        choice = placement.engine_choice
        next_best = None
        if choice is not None and choice.engine == engine.ident:
            next_best = placement.backends.get(choice.next_best)
        age_s = paces.age_s(engine.ident, now)
        return {
            'expected_s': expected_s(engine, 0),
            'next_best': next_best.ident if next_best else '',
            'next_best_s': next_best and expected_s(next_best, self.tokens),
            'slowness': round(slowness.get(engine.ident, 1.0), 2),
            'pace': round(paces.pace(engine.ident, now), 2),
            'pace_age_s': None if age_s is None else round(age_s, 2),
        }

    def untried(self) -> list[decisions.BackendServer]:
        """Return the engines that may be tried in this round."""
        return self.context.placement.untried(
            self.job.service,
            self.context.clock(),
            self.excluded(),
            self.version,
        )

    def choose_backup(
        self, engine: decisions.BackendServer
    ) -> decisions.BackendServer | None:
        """Return an engine for a copy of the stream's run on ``engine``."""
        if not (self.job.route.resumable and self.tokens):
            return None
        now = self.context.clock()
        return self.context.placement.choose_backup(
            engine,
            now,
            self.excluded(),
            self.memory,
            overloaded=self.context.admission.overloaded(now),
        )

    def may_use(self, engine: decisions.BackendServer) -> bool:
        """Return whether the stream may be sent to an engine now."""
        return (
            self.run_limit.allows(engine.ident)
            and engine.ejected_until <= self.context.clock()
            and engine in self._usable()
        )

    def may_resume_on(
        self, backup: decisions.BackendServer, since: float
    ) -> bool:
        """Return whether the stream may resume from a copy.

        :param since: when the copy was begun.
        """
        return self.may_use(backup) and self.context.placement.may_hold_copy(
            backup, since
        )

    def alternatives(
        self,
        engine: decisions.BackendServer,
        count: int,
        unresponsive: set[str],
    ) -> list[decisions.BackendServer]:
        """Return other engines at which the stream might go on, best first.

        Those tried in this round come last: they may be back.

        :param unresponsive: idents of engines to leave out.
        """
        found: dict[str, decisions.BackendServer] = {}
        excluded = self.excluded()
        for tried in (excluded, excluded - self.tried):
            tried = {*tried, *found, *unresponsive, engine.ident}
            while len(found) < count:
                best = self._cheapest(tried)
                if best is None:
                    break
                found[best.ident] = best
                tried.add(best.ident)
        return list(found.values())

    # Engines granted by the scheduling home

    def _eligible(self) -> list[decisions.BackendServer]:
        """Return the engines whose version may get the stream."""
        if self.job.canary and not self.tried and self.version is None:
            canaries = self.context.placement.usable(
                self.job.service, self.context.clock(), canary=True
            )
            if canaries:
                return canaries
        return self._usable()

    def available(self) -> list[decisions.BackendServer]:
        """Return the engines to which the stream may be sent now."""
        now, excluded = self.context.clock(), self.excluded()
        return [
            engine
            for engine in self.context.placement.allowing(
                self._eligible(), now
            )
            if engine.ident not in excluded and engine.ejected_until <= now
        ]

    def constraints(self) -> tuple[str | None, list[str]]:
        """Return the version that an engine must have, if it matters.

        :return: also the engines that the scheduling home shouldn't grant.
        """
        services = self.context.placement.services
        listed = services.get(self.job.service, [])
        version = self.version
        if version is None:
            versions = {engine.version for engine in self._eligible()}
            if len(versions) == 1 < len({e.version for e in listed}):
                version = versions.pop()
        available = {engine.ident for engine in self.available()}
        excluded = [*self.tried, *self.unlisted]
        excluded += [
            engine.ident
            for engine in listed
            if version in (None, engine.version)
            and engine.ident not in available
            and engine.ident not in self.tried
        ]
        return version, excluded[:MAX_EXCLUDED]

    async def accept(self, ident: str) -> _permits.PermittedChoice | None:
        """Return a granted engine if the stream may be sent to it now."""
        if ident not in self.context.placement.backends:
            self.unlisted.add(ident)
        engine = next((e for e in self.available() if e.ident == ident), None)
        permission = _permits.Permission.DENIED
        if engine is not None:
            permission = await _permits.acquire(self.context, self.job, ident)
        if permission is _permits.Permission.DENIED:
            _context.log(self.job, 'granted engine not used', engine=ident)
            return None
        has_permit = permission is _permits.Permission.PERMIT
        return _permits.PermittedChoice(engine, has_permit)
