"""What is known of a request that isn't answered yet."""

import asyncio
import typing as t

import attrs

from bulrushhold import calls
from bulrushhold.forwarding import _context


class Attempts:
    """The attempts of one request at backend servers.

    :ivar may_have_run: one of them may have run the request.
    """

    may_have_run: bool


@attrs.define(eq=False)
class RequestProgress:
    """A request that this entry has received and not yet answered.

    :param caller_stream: the response to the caller, if it is streamed.
    :param received_at: seconds, by the entry's clock.
    :param cutoff: ends the request while its caller has no part of an answer.
    :ivar dispatched_at: when it was last sent to a backend server.
    """

    call: calls.Call
    caller_stream: calls.CallerStream
    received_at: float
    cutoff: asyncio.Timeout
    job: _context.Job | None = None
    attempts: Attempts | None = None
    dispatched_at: float | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have run the request."""
        return self.attempts is not None and self.attempts.may_have_run

    def log_fields(self, now: float) -> dict[str, t.Any]:
        """Return what tells an unfinished request from others."""
        dispatched_s = None
        if self.dispatched_at is not None:
            dispatched_s = round(now - self.dispatched_at, 3)
        return {
            'request': self.call.ident,
            'seconds': round(now - self.received_at, 3),
            'dispatched_s': dispatched_s,
            'begun': self.caller_stream.headers_sent,
        }
