"""Opaque requests: what they carry, and the ports they come and go by.

The forwarding path neither reads nor changes method, path or body. What
it must know of a request, such as the size of its prompt, the adapter of
the caller's protocol decodes into a :class:`Call`.
"""

import abc
import typing as t

import attrs

Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class Prompt:
    """What a model engine has to read and may write.

    :param tokens: of the prompt.
    :param output_tokens: at most.
    :param parts: names of the prompt's parts, in order; the last one
        belongs to the request or to its session.
    """

    tokens: int
    output_tokens: int
    parts: tuple[str, ...] = ()


@attrs.frozen
class Call:
    """One caller's request, as it is to reach a backend server.

    :param ident: the caller's own, another one for each of its tries.
    :param target: path and query, byte for byte.
    :param host: for which host, as the caller sent it.
    :param key: names the client account.
    :param headers: to be handed on; none that only we may set.
    :param wait_s: how long the caller waits.
    :param after: number of the last event that the caller has.
    """

    ident: str
    method: str
    target: str
    host: str
    key: str
    headers: Headers
    body: bytes
    wait_s: float
    after: int | None = None
    prompt: Prompt | None = None


@attrs.frozen
class Attempt:
    """One sending of a call to one backend server.

    :param instance: name of the start of it that is meant.
    :param left_s: how long its work is of any use.
    :param after: number of the last event that isn't wanted again.
    :param backup: address of an engine that is to keep a copy of the
        run's memory; ``''`` for none.
    :param copy: the copy of the run's memory to go on from.
    :param fresh: on a new connection.
    """

    address: str
    instance: str
    account: str
    left_s: float
    after: int | None = None
    backup: str = ''
    copy: 'RunCopy | None' = None
    fresh: bool = False


@attrs.frozen
class RunCopy:
    """A copy of a run's memory, as engines name it.

    :param address: of the engine whose name for it this is.
    :param name: ``''`` for one that was made as the run went on.
    """

    address: str
    name: str = ''


@attrs.frozen
class BackendLoad:
    """Requests at a backend server, of all entries, as it told."""

    running: int
    waiting: int
    slots: int


@attrs.frozen
class AnswerHead:
    """The beginning of a backend server's answer.

    :param own: the answer names the call that was sent; another one
        belongs to somebody else.
    :param genuine: it bears the backend server's mark.
    :param not_run: the backend server says that it didn't run the call.
    :param instance: who answered, where told.
    :param headers: to be handed on to the caller.
    """

    status: int
    headers: Headers
    own: bool
    genuine: bool
    not_run: bool
    instance: str = ''
    load: BackendLoad | None = None


class BackendAnswer(abc.ABC):
    """An answer that is coming in."""

    head: AnswerHead

    @abc.abstractmethod
    async def chunk(self) -> bytes:
        """Return the next bytes, or ``b''`` after the whole body.

        :raises BackendError: where the body ends before it is whole.
        """

    @abc.abstractmethod
    async def body(self) -> bytes:
        """Return the whole body.

        :raises BackendError: where it ends before it is whole.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Leave the answer; the backend server stops its work on it."""


class BackendClient(abc.ABC):
    """Speaks to backend servers."""

    @abc.abstractmethod
    async def send(self, call: Call, attempt: Attempt) -> BackendAnswer:
        """Send a call and return the beginning of its answer.

        :raises BackendError: with ``step`` ``connect`` only where no
            byte of the call can have left.
        """

    @abc.abstractmethod
    async def alive(self, address: str, timeout: float) -> bool:
        """Whether a model engine answers within ``timeout`` seconds.

        Costs it no place; a busy engine answers as an idle one does.
        """

    @abc.abstractmethod
    async def parts_kept(self, address: str, timeout: float) -> frozenset[str]:
        """Return the names of the prompts' parts in an engine's memory.

        Holds up the engine's work a little.

        :param timeout: seconds.
        :raises BackendError: where it doesn't tell in time.
        """

    @abc.abstractmethod
    async def copy_run(
        self, call: Call, source: str, target: str, timeout: float
    ) -> RunCopy:
        """Have an engine copy a run's memory to another one.

        The run goes on meanwhile. Called again, it copies what is new.

        :param timeout: seconds.
        :raises BackendError: where there is no such copy now.
        """

    @abc.abstractmethod
    async def drop_copy(self, copy: RunCopy, timeout: float) -> None:
        """Free the memory of a copy that was ordered; errors are of no use.

        :param timeout: seconds.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


@attrs.frozen
class Reply:
    """A whole answer to a caller."""

    status: int
    headers: Headers
    body: bytes


class CallerStream(abc.ABC):
    """An answer that goes out to a caller piece by piece."""

    begun: bool

    @property
    @abc.abstractmethod
    def connected(self) -> bool:
        """Whether the caller is still there, as far as is known."""

    @abc.abstractmethod
    async def begin(self, status: int, headers: Headers) -> None:
        """Send the beginning of the answer."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send the next bytes."""

    @abc.abstractmethod
    async def end(self) -> None:
        """Tell the caller that the answer is whole."""

    @abc.abstractmethod
    def cut(self) -> None:
        """Break the answer off, so that it can't look whole."""


class EngineDialect(abc.ABC):
    """The protocol that backend servers speak, in headers."""

    @abc.abstractmethod
    def request_headers(
        self, call: Call, attempt: Attempt
    ) -> list[tuple[str, str]]:
        """Return all headers of one sending."""

    @abc.abstractmethod
    def read_head(self, call: Call, status: int, headers: t.Any) -> AnswerHead:
        """Decode the beginning of an answer.

        :param headers: a case-insensitive multi-mapping.
        """

    @abc.abstractmethod
    def copy_order(self, call: Call, target: str) -> tuple[str, bytes]:
        """Return path and body of the order to copy a run."""

    @abc.abstractmethod
    def drop_path(self, copy: RunCopy) -> str:
        """Return the path at which a copy is dropped."""

    @abc.abstractmethod
    def read_copy(self, body: bytes) -> str:
        """Return the copy's name from the answer to such an order.

        :raises BackendError: where it can't be read.
        """

    @abc.abstractmethod
    def probe_path(self) -> str:
        """Return the path at which an engine tells of itself."""

    @abc.abstractmethod
    def parts_path(self) -> str:
        """Return the path at which an engine tells what it keeps."""

    @abc.abstractmethod
    def read_parts(self, body: bytes) -> frozenset[str]:
        """Return the names of the parts that an engine keeps.

        :raises BackendError: where they can't be read.
        """


class CallerDialect(abc.ABC):
    """The protocol that callers speak, decoded at the edge."""

    @abc.abstractmethod
    def read_call(
        self, method: str, target: str, headers: t.Any, body: bytes
    ) -> Call:
        """Decode one request.

        :raises RequestError: where it can't be understood.
        """

    @abc.abstractmethod
    def echo(self, ident: str) -> Headers:
        """Return the headers that tie an answer of ours to a call."""
