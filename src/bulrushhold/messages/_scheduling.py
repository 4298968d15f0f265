"""Messages between entries and the scheduling home of a service."""

import enum

import attrs


class SchedulingStatus(enum.IntEnum):
    """The state of a stream at its service's scheduling home."""

    GRANTED = 1
    QUEUED = 2
    REFUSED = 3
    # The home doesn't know the ticket: it has restarted or dropped it.
    UNKNOWN = 4

    @property
    def label(self) -> str:
        """The name in logs and metrics."""
        return self.name.lower()


@attrs.frozen
class StreamAsk:
    """Asks the scheduling home for an engine for one stream.

    :param ticket: identifies the request at its entry.
    :param fingerprint: equal for all attempts of a caller's request.
    :param priority: 0 is the most urgent.
    :param tokens: length of the prompt.
    :param memory: tokens of the prompt and of the expected output.
    :param objective_s: time until the first event is late; may be negative.
    :param remaining_s: time until the caller gives up.
    :param version: version that the engine must have, if it matters.
    :param excluded: idents of engines that the entry doesn't want.
    :param committed: an earlier home, which is no longer available, has queued
        the stream.
    :param token_ns: time per prompt token at a mean engine as an earlier home
        has measured it; 0 if none has. A new home has measured nothing yet.
    """

    service: str
    entry: str
    ticket: str
    fingerprint: str
    priority: int
    account: str
    tokens: int
    memory: int
    objective_s: float
    remaining_s: float
    version: str | None = None
    excluded: list[str] = attrs.field(factory=list)
    committed: bool = False
    token_ns: int = 0


@attrs.frozen
class StreamPoll:
    """A long poll for the decision on a queued stream.

    :param hold_s: maximum time until the reply.
    """

    service: str
    entry: str
    ticket: str
    hold_s: float


@attrs.frozen
class StreamCancel:
    """Tells that a stream no longer needs an engine."""

    service: str
    entry: str
    ticket: str


@attrs.frozen
class StreamDecision:
    """Reply to :class:`StreamAsk` and :class:`StreamPoll`.

    :param engine: ident of the granted engine.
    :param retry_after_s: delay after which a refused caller should retry.
    :param token_ns: time per prompt token at a mean engine, for the time when
        the home can't be reached; 0 if it isn't known.
    """

    status: SchedulingStatus
    engine: str = ''
    retry_after_s: float = 0.0
    token_ns: int = 0


@attrs.frozen
class PromisedReturn:
    """Tells the next home of a service when a refused caller will return.

    :param work_s: time that a mean engine needs to read the prompt.
    :param return_s: time until the caller returns.
    """

    service: str
    fingerprint: str
    priority: int
    account: str
    work_s: float
    return_s: float
