"""Answers the requests that are left when an entry exits."""

import asyncio
import collections.abc as cabc
import contextlib
import typing as t

from aiohttp import web
import attrs

from bulrushhold import errors

RETRY_AFTER_S: t.Final = 0.0


@attrs.define
class Step:
    """A step of a request, with what is known of its execution.

    :param ran: whether the request was executed, if the step ends now.
    """

    ran: errors.Ran = errors.Ran.NO


class Shutdown:
    """Ends the steps of requests that still wait when their entry exits."""

    def __init__(self) -> None:
        self.started = False
        self.timeouts: set[asyncio.Timeout] = set()

    def start(self) -> None:
        """End all steps, and each one that begins from now on."""
        self.started = True
        now = asyncio.get_running_loop().time()
        for timeout in self.timeouts:
            timeout.reschedule(now)

    @contextlib.asynccontextmanager
    async def step(self) -> cabc.AsyncGenerator[Step, None]:
        """Run a step, which the shutdown ends.

        :raises RequestError: if it was ended.
        """
        step = Step()
        if self.started:
            raise make_refusal(step.ran)
        timeout = asyncio.timeout(None)
        try:
            async with timeout:
                self.timeouts.add(timeout)
                yield step
        except TimeoutError:
            if timeout.expired():
                raise make_refusal(step.ran) from None
            raise
        finally:
            self.timeouts.discard(timeout)


def is_last(request: web.Request) -> bool:
    """Return whether nothing else was read from a request's connection."""
    return not request.protocol._messages


def make_refusal(ran: errors.Ran) -> errors.RequestError:
    """Return the error of a request that the exit ends.

    Its step and status make clients repeat it at another entry.
    """
    return errors.RequestError(
        'this entry is shutting down; use another',
        'entry',
        ran=ran,
        status=503,
        retry_after=RETRY_AFTER_S,
    )
