"""Bounds the runs of one stream by its route's number of attempts."""

import attrs


@attrs.define
class RunLimit:
    """The engines that ran a stream, and its runs that failed in a row.

    A stream that lasts minutes may lose many engines, and goes on as long as
    its runs bring events. The engines that have run it are bounded all the
    same: a route names how many may get one request.

    :param max_attempts: of the stream's route.
    :ivar engines: idents of the engines that ran it and haven't ended since.
    :ivar failures: failed runs since a run brought an event, the one that
        did so included.
    """

    max_attempts: int
    engines: set[str] = attrs.field(factory=set)
    failures: int = 0

    def record_sent(self, ident: str) -> None:
        """Record that a run may have begun on an engine."""
        self.engines.add(ident)

    def record_ended(self, ident: str) -> None:
        """Record that an engine has ended, and counts no more."""
        self.engines.discard(ident)

    def record_failure(self, *, progressed: bool) -> None:
        """Record that a run failed.

        :param progressed: it brought an event.
        """
        self.failures = 1 if progressed else self.failures + 1

    @property
    def exhausted(self) -> bool:
        """Whether too many runs in a row have failed."""
        return self.failures >= self.max_attempts

    def allows_failure(self, *, progressed: bool) -> bool:
        """Return whether the stream may go on if the present run fails.

        :param progressed: it has brought an event.
        """
        failures = 1 if progressed else self.failures + 1
        return failures < self.max_attempts

    def allows(self, ident: str) -> bool:
        """Return whether an engine may run the stream."""
        return ident in self.engines or len(self.engines) < self.max_attempts
