"""One caller's generation: its transcript and who waits for it."""

import asyncio
import collections.abc as cabc
import typing as t

import attrs

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages


@attrs.frozen
class GenerationSpec:
    """What the caller asked for, checked.

    :param fingerprint: of the content, the same under any key.
    :param max_tokens: length at which the engine ends the answer.
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
        """The prompt's beginning, whose engine cache is worth keeping."""
        first = self.messages[0].get('content', '')
        return str(first)[:512]

    @property
    def prompt_tokens(self) -> int:
        """A rough count of the prompt's tokens, to bound extra work."""
        size = sum(len(str(m.get('content', ''))) for m in self.messages)
        return size // 4 + 1


class Generation:
    """A generation in progress or just ended.

    :param key: account and idempotency key.
    :param epoch: fences former entries that served the same key.

    ``since`` is the epoch that began the text.

    ``visible`` tokens may be shown to the caller; ``acked`` tells for
    each copy peer how many it holds.
    """

    def __init__(self, key: str, spec: GenerationSpec, epoch: int) -> None:
        self.key = key
        self.spec = spec
        self.epoch = epoch
        self.since = epoch
        self.refresh_at = 0.0
        self.transcript = decisions.Transcript(key)
        self.lifecycle = decisions.Lifecycle()
        self.error: errors.RequestError | None = None
        self.visible = 0
        self.readers = 0
        self.last_token_at = 0.0
        self.abandoned_at: float | None = None
        self.attempt_changed = asyncio.Event()
        self.failed_engines: set[str] = set()
        self.acked: dict[str, int] = {}
        self.task: asyncio.Task[None] | None = None
        self.listeners: list[cabc.Callable[[], None]] = []
        self._waiters: list[asyncio.Future[None]] = []

    @property
    def fully_visible(self) -> bool:
        """Whether the caller may see the end mark."""
        finished = bool(self.transcript.finish)
        return finished and self.visible == len(self.transcript.tokens)

    @property
    def ended(self) -> bool:
        """Whether nothing more will be shown."""
        return self.error is not None or self.fully_visible

    def advance_visible(self, length: int) -> None:
        """Let readers see the first ``length`` tokens."""
        if length > self.visible or self.transcript.finish:
            self.visible = max(self.visible, length)
            self.notify()

    def fence(self, peer: str) -> None:
        """Stop: another entry serves this key with a higher epoch."""
        if self.error is None and not self.lifecycle.ended:
            self.lifecycle.move('fence')
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
        """End with an honest refusal."""
        self.error = error
        self.attempt_changed.set()
        self.notify()

    def notify(self) -> None:
        """Tell the readers that there is more, or the end."""
        for listener in self.listeners:
            listener()
        if not self._waiters:
            return
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self) -> None:
        """Wait until there is more to read, or the end."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter
