"""Port of response bodies that are forwarded while they are received."""

import abc
import collections.abc as cabc


class Body(abc.ABC):
    """A response body in bounded memory, read once from start to end.

    :ivar length: its length in bytes; ``None`` if it is unknown.
    :ivar complete: whether all of it has been received.
    :ivar on_stalled: called if the caller's connection has to be closed, as
        its caller reads nothing while memory is short.
    """

    length: int | None
    complete: bool = False
    on_stalled: cabc.Callable[[], None] | None = None

    @abc.abstractmethod
    async def piece(self) -> bytes | memoryview:
        """Return the next bytes, or ``b''`` after the whole body.

        The bytes returned before have been sent, and their memory is freed.

        :raises BackendError: if the body is truncated.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Free the memory; close the connection to a server still sending."""
