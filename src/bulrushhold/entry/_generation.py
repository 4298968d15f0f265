"""A caller's generation: its transcript and the readers waiting for it."""

import asyncio
import collections.abc as cabc
import typing as t

import attrs

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages


@attrs.frozen
class GenerationSpec:
    """A validated generation request.

    :param work: kind of work, which selects the row of limits.
    :param fingerprint: hash of the content, independent of the key.
    :param max_tokens: maximum length of the answer.
    """

    account: str
    work: str
    model: str
    messages: list[dict[str, t.Any]]
    max_tokens: int
    fingerprint: str
    row: messages.Row

    @property
    def affinity(self) -> str:
        """The start of the prompt, for routing by prefix cache."""
        first = self.messages[0].get('content', '')
        return str(first)[:512]

    @property
    def prompt_tokens(self) -> int:
        """Estimate the number of prompt tokens, to bound extra work."""
        size = sum(len(str(m.get('content', ''))) for m in self.messages)
        return size // 4 + 1


class Generation:
    """A generation that is running or has recently ended.

    ``start_epoch`` is the epoch in which the text was started. The first
    ``visible`` tokens may be sent to the caller: those of the first
    ``replicated`` ones, once the key is ``registered``. ``acked`` maps each
    peer to the number of tokens it has stored; ``copied`` is false while no
    peer stores them in time. ``attempt_changed`` is set when an attempt sends
    its first event, ends or stalls. ``stalled_attempts`` counts those that
    were left as stalled after they had brought tokens.

    :param key: account and idempotency key.
    :param epoch: fences entries that served the same key before.
    """

    def __init__(self, key: str, spec: GenerationSpec, epoch: int) -> None:
        self.key = key
        self.spec = spec
        self.epoch = epoch
        self.start_epoch = epoch
        self.refresh_at = 0.0
        self.transcript = decisions.Transcript(key)
        self.lifecycle = decisions.Lifecycle()
        self.error: errors.RequestError | None = None
        self.visible = 0
        self.replicated = 0
        self.registered = True
        self.readers = 0
        self.last_token_at = 0.0
        self.abandoned_at: float | None = None
        self.attempt_changed = asyncio.Event()
        self.failed_engines: set[str] = set()
        self.stalled_attempts = 0
        self.acked: dict[str, int] = {}
        self.copied = True
        self.task: asyncio.Task[None] | None = None
        self.registration: asyncio.Task[None] | None = None
        self.listeners: list[cabc.Callable[[], None]] = []
        self._waiters: list[asyncio.Future[None]] = []

    @property
    def fully_visible(self) -> bool:
        """Whether the answer is finished and all of it is visible."""
        finished = bool(self.transcript.finish)
        return finished and self.visible == len(self.transcript.tokens)

    @property
    def ended(self) -> bool:
        """Whether nothing more will become visible."""
        return self.error is not None or self.fully_visible

    @property
    def ran(self) -> errors.Ran:
        """Whether an engine has executed any of it, as far as is known."""
        if self.transcript.tokens:
            return errors.Ran.YES
        attempted = self.transcript.last_attempt > 0
        return errors.Ran.UNKNOWN if attempted else errors.Ran.NO

    def advance_visible(self, length: int) -> None:
        """Make the first ``length`` tokens visible, once registered."""
        self.replicated = max(self.replicated, length)
        if not self.registered:
            return
        if self.replicated > self.visible or self.transcript.finish:
            self.visible = self.replicated
            self.notify()

    def fence(self, peer: str) -> None:
        """Fail because another entry owns this key with a higher epoch."""
        if self.error is None and not self.lifecycle.ended:
            self.lifecycle.trigger('fence')
            self.fail(
                errors.RequestError(
                    'another entry has taken this request over',
                    'fenced',
                    peer,
                    ran=errors.Ran.YES,
                    status=409,
                )
            )

    def fail(self, error: errors.RequestError) -> None:
        """End with an error."""
        self.error = error
        self.attempt_changed.set()
        self.notify()

    def notify(self) -> None:
        """Notify readers of new tokens or the end."""
        for listener in self.listeners:
            listener()
        if not self._waiters:
            return
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self) -> None:
        """Wait for new tokens or the end."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter
