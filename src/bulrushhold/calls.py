"""Data model and ports of the forwarding path for opaque requests.

Method, path and body are forwarded unchanged. Whatever routing needs to know
of a request, such as the size of its prompt, is decoded into a :class:`Call`
by the adapter of the caller's protocol.
"""

import abc
import typing as t

import attrs

from bulrushhold import bodies

Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class Prompt:
    """The size of a generation, and the cacheable segments of its prompt.

    :param tokens: length of the prompt.
    :param max_output_tokens: limit of the output.
    :param segments: names of the prompt's segments, in order; the last one
        is specific to the request or its session.
    """

    tokens: int
    max_output_tokens: int
    segments: tuple[str, ...] = ()


@attrs.frozen
class Call:
    """A caller's request in the form that backend servers receive.

    :param ident: request id set by the caller, unique for each attempt.
    :param target: path and query, byte for byte.
    :param host: the ``Host`` header as sent.
    :param key: API key of the client account.
    :param headers: headers to forward, without any reserved ones.
    :param timeout_s: time after which the caller gives up.
    :param last_event_id: id of the last event that the caller received.
    :param resumes: id of the call whose response brought the first event of
        the stream that this call resumes; ``''`` if the caller doesn't say.
    """

    ident: str
    method: str
    target: str
    host: str
    key: str
    headers: Headers
    body: bytes
    timeout_s: float
    last_event_id: int | None = None
    prompt: Prompt | None = None
    resumes: str = ''


@attrs.frozen
class Attempt:
    """One attempt to run a call on a backend server.

    :param instance: ident of the expected server process; it changes with
        each restart.
    :param remaining_s: time until the caller gives up.
    :param last_event_id: id of the event after which to resume.
    :param backup: address of the engine that receives a copy of the run's
        KV cache; ``''`` for none.
    :param copy: KV cache copy from which to resume.
    :param new_connection: whether to open a new connection.
    :param permitted: the server's request limit allows this attempt.
    :param fingerprint: identifies the content of the call.
    :param priority: order at the engine, 0 being the most urgent; ``None``
        where all calls are equal.
    """

    address: str
    instance: str
    account: str
    remaining_s: float
    last_event_id: int | None = None
    backup: str = ''
    copy: 'RunCopy | None' = None
    new_connection: bool = False
    permitted: bool = False
    fingerprint: str = ''
    priority: int | None = None


@attrs.frozen
class RunCopy:
    """Identifies a copy of a run's KV cache.

    :param address: address of the engine that assigned the name.
    :param name: ``''`` for the copy that an engine sends to its backup
        continuously.
    """

    address: str
    name: str = ''


@attrs.frozen
class BackendLoad:
    """Load that a backend server reports, across all entries.

    :param pace: time that work takes there now; 1 is usual, ``None`` unknown.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@attrs.frozen
class RequestLimit:
    """The rate of requests that a backend server accepts from all entries.

    :param per_s: requests per second; ``None`` if the value is malformed.
    """

    per_s: float | None


@attrs.frozen
class Backoff:
    """A backend server's demand that this entry sends it nothing for a time.

    :param seconds: from the response on; ``None`` if the value is malformed.
    """

    seconds: float | None


@attrs.frozen
class Brittleness:
    """The server fails if it has to reject many requests for want of room.

    :param rejections_per_s: what it bears; ``None`` if the value is malformed.
    """

    rejections_per_s: float | None


@attrs.frozen
class ResponseHead:
    """Status and headers of a backend server's response.

    :param headers: headers to forward to the caller.
    :param matches_request: the response carries the id of the call.
    :param from_backend: the response carries the marker header of backend
        servers.
    :param not_run: the backend server states that it did not run the call.
    :param instance: ident of the responding process, or ``''``.
    :param limit: the request limit that the response names, if any.
    :param backoff: how long the server wants no requests of this entry.
    :param leaving: the server is shutting down and wants no new requests.
    :param brittleness: set while the server is brittle.
    :param load_malformed: the response names a load that can't be decoded.
    :param framed: the end of the body is marked; otherwise the body ends with
        the connection, and nothing tells whether it is whole.
    """

    status: int
    headers: Headers
    matches_request: bool
    from_backend: bool
    not_run: bool
    instance: str = ''
    load: BackendLoad | None = None
    limit: RequestLimit | None = None
    backoff: Backoff | None = None
    leaving: bool = False
    brittleness: Brittleness | None = None
    load_malformed: bool = False
    framed: bool = True


class BackendResponse(abc.ABC):
    """A response whose body is still being received."""

    head: ResponseHead

    @abc.abstractmethod
    async def chunk(self) -> bytes:
        """Return the next bytes, or ``b''`` after the whole body.

        :raises BackendError: if the body is truncated.
        """

    @abc.abstractmethod
    async def body(self) -> bytes:
        """Return the whole body.

        :raises BackendError: if it is truncated.
        """

    async def receive(self) -> bytes | bodies.Body:
        """Return the body; one that is still received closes the response.

        :raises BackendError: if it is truncated.
        """
        return await self.body()

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection, so that the backend server stops work."""


class BackendClient(abc.ABC):
    """Client of backend servers."""

    @abc.abstractmethod
    async def send(self, call: Call, attempt: Attempt) -> BackendResponse:
        """Send a call and return the response as soon as its headers arrive.

        :raises BackendError: its ``step`` is ``connect`` only if no byte of
            the call can have been sent.
        :raises NoPermitError: if the server has a request limit and the
            attempt no permit, or wants no requests; it was not sent.
        :raises RequestBlockedError: if engines crashed under the call; it was
            not sent.
        """

    @abc.abstractmethod
    async def probe(
        self, address: str, timeout: float, instance: str = ''
    ) -> bool:
        """Return whether an engine responds to a liveness probe in time.

        A probe takes no slot, and a busy engine responds as fast as an idle
        one.

        :param timeout: seconds.
        :param instance: ident of the expected process, if it matters; another
            one that says so doesn't count as a response.
        """

    @abc.abstractmethod
    async def accepts_connections(self, address: str, timeout: float) -> bool:
        """Return whether a process listens at an address.

        Unlike a probe, it tells nothing of the process, and any backend server
        can be asked.

        :param timeout: seconds.
        """

    @abc.abstractmethod
    async def has_ended(
        self, address: str, timeout: float, instance: str = ''
    ) -> bool:
        """Return whether the process at an address is known to have ended.

        It has if connections are refused, or if another process responds. One
        that doesn't respond at all may be silent for a moment.

        :param timeout: seconds.
        :param instance: ident of the process, for one that takes probes.
        """

    async def read_start(
        self, address: str, timeout: float, instance: str = ''
    ) -> int | None:
        """Return when an engine's process started, in Unix milliseconds.

        ``None`` if it doesn't say, as under a protocol that gives each start
        an ident of its own.

        :param timeout: seconds.
        :param instance: ident of the expected process, if it matters.
        :raises BackendError: if there is no valid response in time.
        """
        del address, timeout, instance
        return None

    async def identify(
        self, address: str, timeout: float, instance: str
    ) -> bool | None:
        """Return whether a process shows that it is a certain backend server.

        ``None`` if it doesn't answer in time; ``True`` under a protocol that
        has no sign for it.

        :param timeout: seconds.
        :param instance: ident of the expected process.
        """
        del address, timeout, instance
        return True

    @abc.abstractmethod
    async def cached_segments(
        self, address: str, timeout: float
    ) -> frozenset[str]:
        """Return the names of the prompt segments cached by an engine.

        The query slows the engine down a little.

        :param timeout: seconds.
        :raises BackendError: if there is no valid response in time.
        """

    @abc.abstractmethod
    async def copy_run(
        self, call: Call, source: str, target: str, timeout: float
    ) -> RunCopy:
        """Make an engine copy a run's KV cache to another engine.

        The run continues meanwhile. Later copies of the same run transfer only
        what was added since.

        :param timeout: seconds.
        :raises BackendError: if the copy could not be made.
        """

    @abc.abstractmethod
    async def drop_copy(self, copy: RunCopy, timeout: float) -> None:
        """Free the memory of a requested copy; errors are not raised.

        :param timeout: seconds.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


@attrs.frozen
class Reply:
    """A response to a caller; :meth:`close` it if it isn't sent.

    :param framed: see :class:`ResponseHead`.
    """

    status: int
    headers: Headers
    body: bytes | bodies.Body
    framed: bool = True

    def close(self) -> None:
        """Free the memory of the body."""
        if isinstance(self.body, bodies.Body):
            self.body.close()


class CallerStream(abc.ABC):
    """A streamed response to a caller.

    :ivar framed: :meth:`end` marks the end of the body.
    """

    headers_sent: bool
    framed: bool = True

    @property
    @abc.abstractmethod
    def connected(self) -> bool:
        """Whether the caller's connection is open, as far as is known."""

    @abc.abstractmethod
    async def send_headers(
        self, status: int, headers: Headers, framed: bool = True
    ) -> None:
        """Send status and headers of the response.

        :param framed: see :class:`ResponseHead`.
        """

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send the next bytes of the body."""

    @abc.abstractmethod
    async def end(self) -> None:
        """Complete the response."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Abort the response, so that the caller detects the truncation."""


class EngineDialect(abc.ABC):
    """Encodes and decodes the protocol of backend servers."""

    @abc.abstractmethod
    def request_headers(
        self, call: Call, attempt: Attempt
    ) -> list[tuple[str, str]]:
        """Return all headers of an attempt."""

    @abc.abstractmethod
    def decode_head(
        self, call: Call, status: int, headers: t.Any
    ) -> ResponseHead:
        """Decode status and headers of a response.

        :param headers: case-insensitive multi-mapping.
        """

    @abc.abstractmethod
    def copy_request(self, call: Call, target: str) -> tuple[str, bytes]:
        """Return path and body of a request to copy a run's KV cache."""

    @abc.abstractmethod
    def drop_path(self, copy: RunCopy) -> str:
        """Return the path under which a copy is deleted."""

    @abc.abstractmethod
    def decode_copy_name(self, body: bytes) -> str:
        """Return the copy's name from the response to a copy request.

        :raises BackendError: if the response is malformed.
        """

    @abc.abstractmethod
    def probe_path(self) -> str:
        """Return the path of an engine's liveness probe."""

    @abc.abstractmethod
    def probe_headers(self, instance: str) -> list[tuple[str, str]]:
        """Return the headers of a probe of a process; ``''`` for any."""

    @abc.abstractmethod
    def decode_instance(self, headers: t.Any) -> str:
        """Return the ident of the process that responded, if it says so."""

    @abc.abstractmethod
    def decode_start(self, body: bytes) -> int | None:
        """Return when the process started, from the response to a probe.

        :return: Unix milliseconds; ``None`` if it doesn't say.
        :raises BackendError: if the response is malformed.
        """

    def identifies(
        self, status: int, headers: t.Any, body: bytes, instance: str
    ) -> bool:
        """Return whether the response to a probe is a certain server's.

        It is if it has a sign that only the protocol's servers give, and
        isn't another process's.

        :param instance: ident of the expected process.
        """
        del status, headers, body, instance
        return True

    @abc.abstractmethod
    def segments_path(self) -> str:
        """Return the path of the list of cached prompt segments."""

    @abc.abstractmethod
    def decode_segments(self, body: bytes) -> frozenset[str]:
        """Return the names of the segments that an engine has cached.

        :raises BackendError: if the response is malformed.
        """


class CallerDialect(abc.ABC):
    """Decodes the protocol of callers."""

    @abc.abstractmethod
    def decode_call(
        self, method: str, target: str, headers: t.Any, body: bytes
    ) -> Call:
        """Decode a request.

        :raises RequestError: if it is malformed.
        """

    @abc.abstractmethod
    def echo(self, ident: str) -> Headers:
        """Return the headers that correlate a response with its call."""


class PeerProxyClient(abc.ABC):
    """Client of other entries, which proxy requests to backend servers."""

    @abc.abstractmethod
    async def send(
        self, proxy: str, call: Call, attempt: Attempt
    ) -> BackendResponse:
        """Send an attempt through another entry.

        :param proxy: address at which that entry proxies requests.
        :raises ProxyRefusedError: if the attempt was not sent, and another
            entry may be asked.
        :raises BackendError: as :meth:`BackendClient.send` does; so are the
            other errors.
        """

    @abc.abstractmethod
    async def ask(self, proxy: str, question: t.Any, timeout: float) -> t.Any:
        """Return the answer to a message other than an attempt.

        :param timeout: seconds.
        :raises ProxyRefusedError: if there is no answer in time.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class PeerProxyHandler(abc.ABC):
    """Proxies requests of other entries to backend servers."""

    @abc.abstractmethod
    async def send(self, call: Call, attempt: Attempt) -> BackendResponse:
        """Send an attempt of another entry's request.

        :raises ProxyRefusedError: if this entry can't.
        :raises BackendError: see :meth:`BackendClient.send`.
        """

    @abc.abstractmethod
    async def answer(self, question: t.Any) -> t.Any:
        """Return the answer to a message other than an attempt.

        :raises ProxyRefusedError: if this entry can't know it.
        """

    @abc.abstractmethod
    def wait_s(self, instance: str) -> float:
        """Return for how long a server wants no requests of this entry."""
