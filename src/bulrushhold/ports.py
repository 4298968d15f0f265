"""Ports: abstract base classes of the adapters, and the data they exchange."""

import abc
import collections.abc as cabc
import types
import typing as t

import attrs

from bulrushhold import messages

Handler = cabc.Callable[[messages.Message], cabc.Awaitable[t.Any]]
Labels = cabc.Mapping[str, str]
NO_LABELS: t.Final[Labels] = types.MappingProxyType({})


class Transport(abc.ABC):
    """Carries messages between the processes of the system."""

    @abc.abstractmethod
    def handle(self, kind: type, handler: Handler) -> None:
        """Call ``handler`` for each message of ``kind``.

        Its return value, unless ``None``, is sent as the reply.
        """

    @abc.abstractmethod
    def send(self, address: str, message: messages.Message) -> None:
        """Send a message, which is delivered at most once."""

    @abc.abstractmethod
    async def request(
        self, address: str, message: messages.Message, timeout: float
    ) -> t.Any:
        """Send a message and wait for its reply.

        :param timeout: seconds to wait.
        :raises PeerError: on a timeout or an error reply.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop receiving and drop queued messages."""


class PermitSource(abc.ABC):
    """Grants permits to send requests to servers with a request limit."""

    @abc.abstractmethod
    async def request(self, ask: messages.PermitAsk) -> messages.PermitGrant:
        """Ask the home of a server for a permit.

        :raises PeerError: if the home is unknown or doesn't answer.
        """


@attrs.frozen
class Event:
    """A token or the end of stream, as sent by an engine.

    :param request: request id, echoed by the engine.
    :param attempt: attempt number, echoed by the engine.
    :param offset: position of the token; at the end, the number of tokens.
    :param finish: ``''`` for a token, else the reason the stream finished.
    """

    request: str
    attempt: int
    offset: int
    token: str = ''
    finish: str = ''


@attrs.frozen
class GenerationRequest:
    """A request to an engine to generate tokens.

    :param prefix: tokens already delivered, which the engine continues.
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
class EngineLoadReport:
    """The load that an engine reports in its response.

    :param running: requests that it runs, from all entries.
    :param leaving: whether it is draining and wants no new requests.
    """

    running: int
    leaving: bool = False


class EngineClient(abc.ABC):
    """Client for one protocol of model engines.

    :param reports: newest load report by address; the reader removes it.
    """

    reports: dict[str, EngineLoadReport]

    @abc.abstractmethod
    async def run(
        self,
        address: str,
        generation: GenerationRequest,
        on_event: cabc.Callable[[Event], bool],
    ) -> None:
        """Pass each event to ``on_event`` until that returns ``False``.

        A callback is cheaper per token than an async generator.

        :raises EngineLostError: if the stream breaks off before that.
        :raises EngineRefusedError: if the engine refuses the request.
        """

    @abc.abstractmethod
    async def cancel(self, address: str, request: str, attempt: int) -> None:
        """Ask the engine to stop an attempt; errors are ignored."""

    @abc.abstractmethod
    async def probe(self, address: str) -> bool:
        """Whether a process accepts connections at the address.

        ``False`` only if the connection is refused, as a timeout may mean
        that the process is slow.
        """


@attrs.frozen
class ServiceRequest:
    """A request to a plain service."""

    request: str
    method: str
    path: str
    query: str
    body: bytes
    content_type: str
    timeout_s: float


@attrs.frozen
class ServiceResponse:
    """The complete response of a plain service."""

    status: int
    body: bytes
    content_type: str


class ServiceClient(abc.ABC):
    """HTTP client for plain services."""

    @abc.abstractmethod
    async def call(
        self, address: str, call: ServiceRequest
    ) -> ServiceResponse:
        """Send a request without any retry.

        :raises BackendError: its ``step`` is ``connect`` only if no byte of
            the request was sent.
        """


@attrs.frozen
class BackendServer:
    """A backend server in the platform's list.

    :param kind: ``engine`` or the name of a plain service.
    :param models: versions by name of model or adapter. A generation can
        only be continued with the same version.
    :param slots: concurrent requests that an engine runs efficiently.
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
    """An entry instance in the platform's list."""

    name: str
    data_centre: str
    http: str
    peer: str
    leaving: bool = False


@attrs.frozen
class Platform:
    """The platform's list of instances, which may be out of date."""

    entries: list[Instance] = attrs.field(factory=list)
    backend_servers: list[BackendServer] = attrs.field(factory=list)


class PlatformList(abc.ABC):
    """Reads the platform's list of live and leaving instances."""

    @abc.abstractmethod
    async def fetch(self) -> Platform | None:
        """Return the list, or ``None`` if it has not changed.

        :raises PeerError: if the platform sends no valid response.
        """


class BackendList(abc.ABC):
    """Reads the platform's list of backend servers."""

    @abc.abstractmethod
    async def fetch(self) -> list[messages.ListedBackend]:
        """Return the whole list, in a stable order.

        :raises PeerError: if the platform sends no valid response.
        """


class Metrics(abc.ABC):
    """Records metrics without blocking; values may be lost.

    A name is a constant of the code, always used with the same label names.
    Text from outside, such as the name of a service, is a label's value.
    """

    @abc.abstractmethod
    def count(
        self, name: str, amount: int = 1, labels: Labels = NO_LABELS
    ) -> None:
        """Add to a counter."""

    @abc.abstractmethod
    def time(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""

    @abc.abstractmethod
    def gauge(
        self, name: str, value: float, labels: Labels = NO_LABELS
    ) -> None:
        """Set a gauge."""

    @abc.abstractmethod
    def remove_gauge(self, name: str, labels: Labels) -> None:
        """Forget a gauge's value for labels that aren't used any more."""


class LogStore(abc.ABC):
    """Durable storage of a replica's log and snapshots."""

    @abc.abstractmethod
    def save(
        self,
        term: int,
        vote: str,
        entries: list[messages.LogEntry],
    ) -> None:
        """Append entries and sync.

        An entry replaces all earlier ones from its index on.

        :raises StorageError: on a failed write; the store must not be used
            any further.
        """

    @abc.abstractmethod
    def save_snapshot(
        self, snapshot: messages.InstallSnapshot, tail: list[messages.LogEntry]
    ) -> None:
        """Replace the log by a snapshot and the entries after it.

        :raises StorageError: on a failed write; the store must not be used
            any further.
        """


class OriginLog(abc.ABC):
    """Durable storage of where streams began.

    Its records are independent of one another: one that is lost makes one
    stream's origin unknown.
    """

    @abc.abstractmethod
    def load(self) -> list[messages.StreamOrigin]:
        """Return all stored origins, oldest first, also expired ones."""

    @abc.abstractmethod
    def append(self, origins: list[messages.StreamOrigin]) -> None:
        """Store origins and sync; may block for as long as the disk does.

        :raises StorageError: on a failed write; a later call may succeed.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the files."""
