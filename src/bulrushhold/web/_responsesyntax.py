"""The syntax of HTTP/1.1 responses: RFC 9110 and RFC 9112.

The HTTP library parses responses leniently, so that bytes that are no valid
response may come out of it as one. What passes here is one, and its end is
known.
"""

import abc
import re
import typing as t

import aiohttp
import attrs

# Bounds what a response may send ahead of its body: all interim heads and the
# final one. Otherwise a server could keep the event loop parsing forever. Its
# trailers have the same bound.
MAX_HEAD_BYTES: t.Final = 64 << 10
MAX_CHUNK_LINE_BYTES: t.Final = 16 << 10
# Lengths that aren't credible overflow in parsers.
MAX_LENGTH_DIGITS: t.Final = 18
FIRST_FINAL_STATUS: t.Final = 200
SWITCHING_PROTOCOLS: t.Final = 101
# RFC 9112, section 6.3: they end with their heads.
BODILESS_STATUSES: t.Final = frozenset({204, 304})
# Shown in errors.
_MAX_SHOWN: t.Final = 60

_START: t.Final = b'HTTP/1.'
_TEXT: t.Final = rb'[\t \x21-\x7e\x80-\xff]*'
# RFC 9110, section 15: other statuses are invalid. RFC 9112, section 4: a
# server must send the space after the status, but many without a reason don't.
_STATUS_LINE: t.Final = re.compile(
    rb'HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: %b)?' % _TEXT
)
# RFC 9112, section 5.1: no space is allowed before the colon.
_FIELD: t.Final = re.compile(
    rb"([!#$%%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*(%b)" % _TEXT
)
# RFC 9112, section 5.2.
_FOLDED: t.Final = re.compile(rb'[ \t]%b' % _TEXT)
_LENGTH: t.Final = re.compile(rb'[0-9]{1,%d}' % MAX_LENGTH_DIGITS)
# RFC 9112, section 7.1.
_CHUNK_SIZE: t.Final = re.compile(
    rb'([0-9A-Fa-f]{1,15})[ \t]*(?:;%b)?\r' % _TEXT
)


class InvalidResponseError(aiohttp.ClientError):
    """What was received is no valid response; its connection was closed.

    :param reason: what is invalid, on one line.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ResponseLimitError(InvalidResponseError):
    """A response exceeded a limit, and its connection was closed.

    :param byte_count: bytes received by then.
    :param reason: what exceeded its limit.
    """

    def __init__(self, byte_count: int, reason: str) -> None:
        super().__init__(f'{reason} too large: {byte_count} bytes')
        self.byte_count = byte_count
        self.reason = reason


def _invalid(part: str, data: bytes) -> InvalidResponseError:
    return InvalidResponseError(f'invalid {part}: {data[:_MAX_SHOWN]!r}')


class BodyFraming(abc.ABC):
    """Finds the end of a body.

    :ivar complete: the whole body was received.
    """

    complete = False

    @abc.abstractmethod
    def take(self, data: bytes) -> int:
        """Return how many of these bytes belong to the body.

        :raises InvalidResponseError: if they can't be part of one.
        """


class NoBody(BodyFraming):
    """The response ends with its head."""

    complete = True

    def take(self, data: bytes) -> int:
        """Take nothing."""
        del data
        return 0


class SizedBody(BodyFraming):
    """A body of a known length.

    :param length: in bytes.
    """

    def __init__(self, length: int) -> None:
        self.remaining = length
        self.complete = not length

    def take(self, data: bytes) -> int:
        """Take no more than the length."""
        count = min(self.remaining, len(data))
        self.remaining -= count
        self.complete = not self.remaining
        return count


class UnframedBody(BodyFraming):
    """A body whose end is that of its connection."""

    def take(self, data: bytes) -> int:
        """Take everything."""
        return len(data)


class ChunkedBody(BodyFraming):
    """A body in chunks, with trailers: RFC 9112, section 7.1.

    :ivar remaining: bytes of the current chunk.
    :ivar line: the part of the current line that was received.
    """

    def __init__(self) -> None:
        self.remaining = 0
        self.line = b''
        self.trailers: Fields | None = None
        self.on_line = self._begin_chunk

    def take(self, data: bytes) -> int:
        """Take all bytes up to the end of the trailers."""
        position = 0
        while position < len(data) and not self.complete:
            if self.remaining:
                count = min(self.remaining, len(data) - position)
                self.remaining -= count
                position += count
                continue
            end = data.find(b'\n', position)
            if end < 0:
                self.line += data[position:]
                if len(self.line) > MAX_CHUNK_LINE_BYTES:
                    raise ResponseLimitError(len(self.line), 'chunk line')
                return len(data)
            line = self.line + data[position:end]
            self.line = b''
            position = end + 1
            self.on_line(line)
        return position

    def _begin_chunk(self, line: bytes) -> None:
        match = _CHUNK_SIZE.fullmatch(line)
        if match is None:
            raise _invalid('chunk size', line)
        self.remaining = int(match[1], 16)
        if self.remaining:
            self.on_line = self._end_chunk
        else:
            self.trailers = Fields('trailer')
            self.on_line = self._add_trailer

    def _end_chunk(self, line: bytes) -> None:
        if line != b'\r':
            raise _invalid('end of chunk', line)
        self.on_line = self._begin_chunk

    def _add_trailer(self, line: bytes) -> None:
        assert self.trailers is not None
        line = line.removesuffix(b'\r')
        if line:
            self.trailers.add(line)
        else:
            self.complete = True


class Fields:
    """The fields of a head or of trailers.

    :param part: what they are, for errors.
    :ivar size: bytes of all lines.
    :ivar items: names in lower case, and values.
    """

    def __init__(self, part: str) -> None:
        self.part = part
        self.size = 0
        self.items: list[tuple[bytes, bytes]] = []

    def add(self, line: bytes) -> None:
        """Add a line.

        :raises InvalidResponseError: if it is no field.
        """
        self.size += len(line)
        if self.size > MAX_HEAD_BYTES:
            raise ResponseLimitError(self.size, self.part)
        match = _FIELD.fullmatch(line)
        if match is not None:
            self.items.append((match[1].lower(), match[2].rstrip(b' \t')))
        elif self.items and _FOLDED.fullmatch(line):
            name, value = self.items[-1]
            self.items[-1] = name, (value + b' ' + line).strip(b' \t')
        else:
            raise _invalid(self.part, line)

    def values(self, name: bytes) -> list[bytes]:
        """Return the values of a name in lower case."""
        return [value for key, value in self.items if key == name]


@attrs.define
class Head:
    """A status line and the fields that follow it.

    :ivar minor: of the version; the major one is 1.
    :ivar status: 0 before the status line.
    """

    minor: int = 0
    status: int = 0
    fields: Fields = attrs.field(factory=lambda: Fields('field'))

    @property
    def is_interim(self) -> bool:
        """Whether another head follows it."""
        return self.status < FIRST_FINAL_STATUS

    def add(self, line: bytes) -> None:
        """Add a line without its end.

        :raises InvalidResponseError: if it is no part of a head.
        """
        if self.status:
            self.fields.add(line)
            return
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise _invalid('status line', line)
        self.minor, self.status = int(match[1]), int(match[2])
        # RFC 9110, section 7.8: only a protocol that the request names.
        if self.status == SWITCHING_PROTOCOLS:
            raise _invalid('status', match[2])

    def body_framing(self, has_body: bool) -> BodyFraming:
        """Return the framing of the body: RFC 9112, section 6.3.

        :param has_body: whether a response to the request's method has one.
        :raises InvalidResponseError: if its end is ambiguous.
        """
        codings = self.fields.values(b'transfer-encoding')
        lengths = self.fields.values(b'content-length')
        if codings:
            self._check_codings(codings, lengths)
        for length in lengths:
            if len(lengths) > 1 or not _LENGTH.fullmatch(length):
                raise _invalid('Content-Length', b', '.join(lengths))
        if not has_body or self.status in BODILESS_STATUSES:
            return NoBody()
        if codings:
            return ChunkedBody()
        if lengths:
            return SizedBody(int(lengths[0]))
        return UnframedBody()

    def _check_codings(
        self, codings: list[bytes], lengths: list[bytes]
    ) -> None:
        """Check that the body is chunked and nothing else.

        No other coding was asked for, nor can it be removed. RFC 9112,
        section 6.1: with a length, or in HTTP/1.0, the framing is faulty.
        """
        names = b','.join(codings).lower().split(b',')
        names = [name for name in (n.strip(b' \t') for n in names) if name]
        if names != [b'chunked'] or lengths or not self.minor:
            raise _invalid('Transfer-Encoding', b', '.join(codings))


class ResponseScanner:
    """Follows the bytes of a connection through one response.

    :param has_body: whether a response to the request's method has one.
    :ivar body: set once the final head is complete.
    """

    def __init__(self, has_body: bool) -> None:
        self.has_body = has_body
        self.head = Head()
        self.head_bytes = 0
        self.received = b''
        self.line_start = 0
        self.body: BodyFraming | None = None

    @property
    def complete(self) -> bool:
        """Whether the whole response was received."""
        return self.body is not None and self.body.complete

    def take(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the next complete head, or part of the body, and the rest.

        The first is empty until a head is complete.

        :raises InvalidResponseError: if this isn't a valid response.
        """
        if self.body is None:
            return self._take_head(data)
        count = self.body.take(data)
        return data[:count], data[count:]

    def _take_head(self, data: bytes) -> tuple[bytes, bytes]:
        data = self.received + data
        while (end := data.find(b'\n', self.line_start)) >= 0:
            # RFC 9112, section 2.2: a line may end with LF alone.
            line = data[self.line_start : end].removesuffix(b'\r')
            self.line_start = end + 1
            self._check_head_size(self.line_start)
            if line:
                self.head.add(line)
                continue
            self._end_head()
            return data[: end + 1], data[end + 1 :]
        self._check_head_size(len(data))
        if data[: len(_START)] != _START[: len(data)]:
            raise _invalid('status line', data)
        self.received = data
        return b'', b''

    def _check_head_size(self, size: int) -> None:
        if self.head_bytes + size >= MAX_HEAD_BYTES:
            raise ResponseLimitError(MAX_HEAD_BYTES, 'response head')

    def _end_head(self) -> None:
        if not self.head.status:
            raise _invalid('status line', b'')
        framing = self.head.body_framing(self.has_body)
        if self.head.is_interim:
            self.head = Head()
        else:
            self.body = framing
        self.head_bytes += self.line_start
        self.line_start = 0
        self.received = b''
