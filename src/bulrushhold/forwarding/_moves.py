"""Prepares the move of a stream to another engine before it leaves one."""

import typing as t

from bulrushhold import decisions
from bulrushhold.forwarding import _context
from bulrushhold.forwarding import _enginechooser
from bulrushhold.forwarding import _retries

# Engines that are probed at once as the stream's engine doesn't answer.
MAX_CANDIDATES: t.Final = 3
# Engines that were left as silent, of which nothing is known since.
MAX_SILENT_ENGINES: t.Final = 2


class MovePlanner:
    """Finds an engine that answers, and takes the retry that it needs.

    An engine that may still answer is left only with both: its run would be
    given up for nothing.

    :ivar successor: engine that answers, as the present one doesn't.
    :ivar retry: taken for the next move.
    :ivar has_place: another engine would take the stream at once.
    :ivar unresponsive: idents of engines that answered no probe as a
        successor was looked for.
    """

    def __init__(
        self,
        context: _context.ForwardingContext,
        job: _context.Job,
        engines: _enginechooser.EngineChooser,
    ) -> None:
        self.context = context
        self.job = job
        self.engines = engines
        self.successor: decisions.BackendServer | None = None
        self.retry: _retries.Retry | None = None
        self.has_place = False
        self.unresponsive: set[str] = set()

    async def find_successor(
        self,
        engine: decisions.BackendServer,
        backup: decisions.BackendServer | None,
    ) -> bool:
        """Return whether an engine answers at which the stream might go on.

        :param engine: the one that doesn't answer.
        :param backup: engine that holds a copy of the run, if any.
        """
        self.successor = None
        if not self.job.route.repeatable or self._is_suspect():
            return False
        candidates = self.engines.alternatives(
            engine, MAX_CANDIDATES, self.unresponsive
        )
        if not candidates:
            self.unresponsive.clear()
        if backup is not None:
            candidates = [backup, *(c for c in candidates if c is not backup)]
        found = await self.context.probes.find_alive(engine, candidates)
        if found is None:
            self.unresponsive.update(c.ident for c in candidates)
        elif found is not engine:
            self.successor = found
        return self.successor is not None

    def _is_suspect(self) -> bool:
        """Whether engines that had the request are silent, and may be gone.

        It might be what ends them: no further engine gets it before some of
        these have answered, or have ended.
        """
        silent = self.context.poison_requests.silent_under(
            self.job.fingerprint, self.context.placement.silent_since
        )
        return silent >= MAX_SILENT_ENGINES

    def take_successor(self) -> decisions.BackendServer | None:
        """Return the successor once, if the stream may still be sent there."""
        successor, self.successor = self.successor, None
        if successor is not None and self.engines.may_use(successor):
            return successor
        return None

    def take_place(self) -> bool:
        """Return once whether a place was found for the move."""
        has_place, self.has_place = self.has_place, False
        return has_place

    async def secure_retry(self, rejections: int, *, begun: bool) -> bool:
        """Return whether a retry could be taken for the move.

        :param rejections: how many engines refused to run the stream.
        :param begun: the caller has received some events.
        """
        if not self.job.route.repeatable:
            return False
        if self.retry is None:
            priority = _retries.priority(self.job, rejections, begun=begun)
            self.retry = await _retries.take_now(
                self.context, self.job.service, priority
            )
        return self.retry is not None

    def take_retry(self) -> _retries.Retry | None:
        """Return the retry that was taken for the move, once."""
        retry, self.retry = self.retry, None
        return retry
