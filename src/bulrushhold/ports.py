"""Abstract base classes at the system's edges (ports)."""

import abc
import collections.abc as cabc
import typing as t

import attrs

from bulrushhold import messages

Handler = cabc.Callable[[messages.Message], cabc.Awaitable[t.Any]]


class Transport(abc.ABC):
    """Carries messages between the system's own processes."""

    @abc.abstractmethod
    def handle(self, kind: type, handler: Handler) -> None:
        """Call ``handler`` for each message of ``kind``.

        What it returns, unless ``None``, is the reply to a request.
        """

    @abc.abstractmethod
    def send(self, address: str, message: messages.Message) -> None:
        """Send one message; it may be lost, never delivered twice."""

    @abc.abstractmethod
    async def request(
        self, address: str, message: messages.Message, timeout: float
    ) -> t.Any:
        """Send a message and return its reply.

        :param timeout: seconds to wait.
        :raises PeerError: where no reply came in time, or it failed.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop receiving and drop what is queued."""


@attrs.frozen
class Event:
    """One token or the end mark, as an engine sent it.

    :param request: the request id that the engine's reply names.
    :param attempt: the attempt that the engine's reply names.
    :param offset: of the token; of the end mark, the number of tokens.
    :param finish: ``''`` for a token, else why the answer ended.
    """

    request: str
    attempt: int
    offset: int
    token: str = ''
    finish: str = ''


@attrs.frozen
class Generate:
    """What an engine is asked for.

    :param prefix: tokens already delivered, to be continued exactly.
    :param deadline_s: seconds until the first token is due.
    """

    request: str
    attempt: int
    model: str
    messages: list[dict[str, t.Any]]
    prefix: list[str]
    max_tokens: int
    priority: int
    deadline_s: float


@attrs.frozen
class LoadReport:
    """What an engine's reply told of itself.

    :param running: requests running there, of all entries.
    :param leaving: it asks for no new work, ahead of the platform's list.
    """

    running: int
    leaving: bool = False


class EngineClient(abc.ABC):
    """Speaks one protocol of model engines.

    :param reports: address to the newest report; taken out by the reader.
    """

    reports: dict[str, LoadReport]

    @abc.abstractmethod
    async def run(
        self,
        address: str,
        order: Generate,
        take: cabc.Callable[[Event], bool],
    ) -> None:
        """Give the engine's events to ``take`` until it returns ``False``.

        A plain call for each event: an async generator would cost a
        task's step and more for each token.

        :raises EngineLostError: where the stream breaks off before that.
        :raises EngineRefusedError: where the engine won't run it.
        """

    @abc.abstractmethod
    async def cancel(self, address: str, request: str, attempt: int) -> None:
        """Tell the engine to stop an attempt; errors are of no use."""

    @abc.abstractmethod
    async def alive(self, address: str) -> bool:
        """Whether anything accepts connections there.

        ``False`` only where the connection was refused: the process is
        gone, and not just slow.
        """


@attrs.frozen
class ServiceCall:
    """One call of a plain service."""

    request: str
    method: str
    path: str
    query: str
    body: bytes
    content_type: str
    timeout_s: float


@attrs.frozen
class ServiceAnswer:
    """A plain service's whole answer."""

    status: int
    body: bytes
    content_type: str


class ServiceClient(abc.ABC):
    """Speaks HTTP to plain services."""

    @abc.abstractmethod
    async def call(self, address: str, call: ServiceCall) -> ServiceAnswer:
        """Make one call, once.

        :raises BackendError: with ``step`` ``connect`` only where no
            byte of the call can have left.
        """


@attrs.frozen
class BackendServer:
    """A backend server as the platform lists it.

    :param kind: ``engine`` or the name of a plain service.
    :param models: name to version, of model and adapter; continuations
        need the same version.
    :param slots: requests that an engine runs well at once.
    """

    name: str
    kind: str
    address: str
    data_centre: str
    leaving: bool = False
    models: dict[str, str] = attrs.field(factory=dict)
    slots: int = 64


@attrs.frozen
class Instance:
    """An entry instance as the platform lists it."""

    name: str
    data_centre: str
    http: str
    peer: str
    leaving: bool = False


@attrs.frozen
class Platform:
    """The platform's list; it lags behind what is true."""

    entries: list[Instance] = attrs.field(factory=list)
    backend_servers: list[BackendServer] = attrs.field(factory=list)


class PlatformList(abc.ABC):
    """Reads the platform's list of live and leaving instances."""

    @abc.abstractmethod
    async def fetch(self) -> Platform | None:
        """Return the list, or ``None`` where it hasn't changed.

        :raises PeerError: where the platform can't be asked.
        """


class BackendList(abc.ABC):
    """Reads the platform's list of backend servers."""

    @abc.abstractmethod
    async def fetch(self) -> list[messages.ListedBackend]:
        """Return the whole list, in an order that only changes with it.

        :raises PeerError: where the platform can't be asked.
        """


class Metrics(abc.ABC):
    """Counts and times; loses data rather than wait."""

    @abc.abstractmethod
    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    @abc.abstractmethod
    def time(self, name: str, seconds: float) -> None:
        """Record one duration in seconds."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set a level."""


class LogStore(abc.ABC):
    """Keeps a replica's log and snapshots through a crash."""

    @abc.abstractmethod
    def save(
        self,
        term: int,
        vote: str,
        entries: list[messages.LogEntry],
    ) -> None:
        """Append and sync; an entry replaces all from its index on.

        :raises StorageError: the process must then stop.
        """

    @abc.abstractmethod
    def save_snapshot(
        self, snapshot: messages.InstallSnapshot, tail: list[messages.LogEntry]
    ) -> None:
        """Replace the log by a snapshot and the entries after it.

        :raises StorageError: the process must then stop.
        """
