"""Checks that an engine runs the software version that is listed for it.

Only a stream that goes on depends on it: a text of two versions looks like a
whole answer.
"""

import asyncio
import collections.abc as cabc
import time
import typing as t

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold.forwarding import _liveness
from bulrushhold import node

WATCH_INTERVAL_S: t.Final = 0.2
# Engines asked at a time as they are listed.
WATCH_BATCH: t.Final = 8
WATCH_RETRY_S: t.Final = 5.0
RETRY_INTERVAL_S: t.Final = 0.2
# Most engines answer sooner, and their streams need no note.
PENDING_AFTER_S: t.Final = 0.05
# Time after the list must show a stream's engine to find out its version.
MAX_DELAY_S: t.Final = 2.0


class VersionChecks:
    """Asks engines when their processes started, and compares with the list.

    :param clock: monotonic time in seconds.
    :param unix_clock: the time of day.
    """

    def __init__(
        self,
        client: calls.BackendClient,
        placement: decisions.Placement,
        clock: cabc.Callable[[], float],
        unix_clock: cabc.Callable[[], float] = time.time,
    ) -> None:
        self.client = client
        self.placement = placement
        self.clock = clock
        self.unix_clock = unix_clock
        # By ident and version: a check of one that is listed now says nothing
        # about the one that was listed as a stream began.
        self.pending: dict[tuple[str, str], asyncio.Future[bool]] = {}
        self.ask_again_at: dict[str, float] = {}

    async def watch(
        self, list_services: cabc.Callable[[], cabc.Iterable[str]]
    ) -> None:
        """Get to know engines as they are listed, forever.

        :param list_services: returns the services whose streams may go on.
        """
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            await self._ask(self._unknown(list_services())[:WATCH_BATCH])

    def _unknown(
        self, services: cabc.Iterable[str]
    ) -> list[decisions.BackendServer]:
        now, starts = self.clock(), self.placement.incarnations.starts
        return [
            engine
            for service in services
            for engine in self.placement.services.get(service, ())
            if engine.ident not in starts
            and self.ask_again_at.get(engine.ident, now) <= now
        ]

    async def _ask(self, engines: list[decisions.BackendServer]) -> None:
        answers = await asyncio.gather(*map(self.runs_listed_version, engines))
        again_at = self.clock() + WATCH_RETRY_S
        for engine, answered in zip(engines, answers, strict=True):
            # One that answers, and is still unknown, states no start.
            self.ask_again_at[engine.ident] = (
                float('inf') if answered else again_at
            )
        listed = self.placement.backends
        self.ask_again_at = {
            ident: at
            for ident, at in self.ask_again_at.items()
            if ident in listed
        }

    async def runs_listed_version(
        self, engine: decisions.BackendServer
    ) -> bool:
        """Return whether an engine is known to run its listed version.

        It is if it states no start, as under a protocol without restarts.
        """
        key = engine.ident, engine.version
        check = self.pending.get(key)
        if check is None:
            check = asyncio.ensure_future(self._check(engine))
            self.pending[key] = check
            check.add_done_callback(lambda _: self.pending.pop(key))
        return await asyncio.shield(check)

    async def _check(self, engine: decisions.BackendServer) -> bool:
        try:
            started_ms = await self.client.read_start(
                engine.address, _liveness.PROBE_TIMEOUT_S, engine.ident
            )
        except errors.BackendError:
            return False
        if started_ms is None:
            return True
        self.placement.verification.record_answer(engine.ident)
        incarnations = self.placement.incarnations
        if incarnations.record(engine.ident, started_ms, self.clock()):
            node.log_decision(
                'engine started again',
                engine=engine.ident,
                version=engine.version,
                started_ms=started_ms,
            )
        return self._is_current(engine) and incarnations.is_listed(
            engine.ident, self._listed_at(), self.unix_clock()
        )

    def _known_since(self, engine: decisions.BackendServer) -> float:
        """Return since when an engine's process is known to be the same."""
        start = self.placement.incarnations.starts.get(engine.ident)
        return start.seen_at if start is not None else float('-inf')

    def _unlisted_start(
        self, engine: decisions.BackendServer
    ) -> decisions.Start | None:
        """Return the start of an engine if no list describes it so far."""
        incarnations = self.placement.incarnations
        is_listed = incarnations.is_listed(
            engine.ident, self._listed_at(), self.unix_clock()
        )
        return None if is_listed else incarnations.starts.get(engine.ident)

    def _is_current(self, engine: decisions.BackendServer) -> bool:
        listed = self.placement.backends.get(engine.ident)
        return listed is not None and listed.version == engine.version

    def _listed_at(self) -> float:
        return self.placement.known_versions.listed_at

    async def version_that_began(
        self,
        engine: decisions.BackendServer,
        began_at: float,
        is_running: cabc.Callable[[], bool],
        on_pending: cabc.Callable[[float], None],
    ) -> str | None:
        """Return the version that began a stream; ``None`` if it is unknown.

        The engine tells at once if its process is known. Otherwise a list
        tells that is new enough to show the engine as it was.

        :param began_at: when the first event arrived.
        :param is_running: whether the engine has sent events since then
            without interruption.
        :param on_pending: is called once if the version isn't known at once,
            with the time in seconds within which it will be or never. It is
            called while a slow engine is being asked, as the stream may be
            resumed elsewhere meanwhile.
        """
        incarnations = self.placement.incarnations
        latest = began_at + incarnations.max_lag_s + MAX_DELAY_S
        is_pending = False

        def note_pending() -> None:
            nonlocal is_pending
            if not is_pending:
                is_pending = True
                on_pending(latest - self.clock())

        loop = asyncio.get_running_loop()
        timer = loop.call_later(PENDING_AFTER_S, note_pending)
        try:
            return await self._find_version(
                engine, began_at, latest, is_running, note_pending
            )
        finally:
            timer.cancel()

    async def _find_version(
        self,
        engine: decisions.BackendServer,
        began_at: float,
        latest: float,
        is_running: cabc.Callable[[], bool],
        note_pending: cabc.Callable[[], None],
    ) -> str | None:
        incarnations = self.placement.incarnations
        unlisted = self._unlisted_start(engine)
        while True:
            runs_listed = await self.runs_listed_version(engine)
            if unlisted is None and is_running():
                unlisted = self._unlisted_start(engine)
            if runs_listed and (
                is_running() or self._known_since(engine) <= began_at
            ):
                return engine.version
            if incarnations.shows(self._listed_at(), began_at):
                listed = self.placement.backends.get(engine.ident)
                if listed is None:
                    return None
                if is_running():
                    return listed.version
                # It may have started again since the stream was lost.
                present = incarnations.starts.get(engine.ident)
                if unlisted is not None and present != unlisted:
                    # No list need have shown the process between.
                    return None
                is_same = listed.version == engine.version
                return listed.version if is_same else None
            if self.clock() >= latest:
                return None
            note_pending()
            await asyncio.sleep(RETRY_INTERVAL_S)
