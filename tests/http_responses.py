"""Responses that are no valid HTTP, and ones that are valid but odd."""

CHUNKED = b'Transfer-Encoding: chunked'
CHUNKS = b'2\r\nok\r\n0\r\n\r\n'


def response(*fields, status=b'HTTP/1.1 200 OK', body=b'ok'):
    """Return a response with these fields, or with a length."""
    fields = fields or (b'Content-Length: 2',)
    lines = (status, b'X-Stamp: 1', *fields)
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


def with_field(field):
    return response(field, b'Content-Length: 2')


def chunked(body, *fields, status=b'HTTP/1.1 200 OK'):
    return response(CHUNKED, *fields, status=status, body=body)


def with_status(line):
    return response(status=line)


INVALID = {
    'status 000': with_status(b'HTTP/1.1 000 X'),
    'status 000 in chunks': chunked(CHUNKS, status=b'HTTP/1.1 000 X'),
    'status 000 without a length': response(b'X: 1', status=b'HTTP/1.1 000 X'),
    'status 099': with_status(b'HTTP/1.1 099 X'),
    'status 600': with_status(b'HTTP/1.1 600 X'),
    'status 999': with_status(b'HTTP/1.1 999 X'),
    'status of two digits': with_status(b'HTTP/1.1 20 X'),
    'status of four digits': with_status(b'HTTP/1.1 2000 X'),
    'status of letters': with_status(b'HTTP/1.1 2O0 X'),
    'status with a sign': with_status(b'HTTP/1.1 +20 X'),
    'another protocol': with_status(b'HTTP/1.1 101 X'),
    'an upgrade': response(
        b'Upgrade: websocket',
        b'Connection: upgrade',
        status=b'HTTP/1.1 101 X',
    ),
    'version 0.9': with_status(b'HTTP/0.9 200 OK'),
    'version 2.0': with_status(b'HTTP/2.0 200 OK'),
    'another name of the protocol': with_status(b'ICE/1.0 200 OK'),
    'no version': with_status(b'200 OK'),
    'two spaces': with_status(b'HTTP/1.1  200 OK'),
    'control byte in the reason': with_status(b'HTTP/1.1 200 O\x01K'),
    'NUL in the reason': with_status(b'HTTP/1.1 200 O\x00K'),
    'an empty line first': b'\r\n' + response(),
    'blank after the name of the length': response(b'Content-Length : 2'),
    'blank after the name of the coding': response(
        b'Transfer-Encoding : chunked', body=CHUNKS
    ),
    'blank after another name': with_field(b'Connection : close'),
    'blank in a name': with_field(b'X Y: 1'),
    'tab in a name': with_field(b'X\tY: 1'),
    'control byte in a name': with_field(b'X\x01Y: 1'),
    'NUL in a name': with_field(b'X\x00Y: 1'),
    'DEL in a name': with_field(b'X\x7f: 1'),
    'high byte in a name': with_field(b'X\xe9: 1'),
    'an empty name': with_field(b': 1'),
    'no colon': with_field(b'X'),
    'a folded line first': response(
        b'Content-Length: 2', status=b'HTTP/1.1 200 OK\r\n X: 1'
    ),
    'control bytes in a value': with_field(b'X: a\x01\x02b'),
    'NUL in a value': with_field(b'X: a\x00b'),
    'DEL in a value': with_field(b'X: a\x7fb'),
    'CR in a value': with_field(b'X: a\rb'),
    'two codings': chunked(CHUNKS, b'Transfer-Encoding: identity'),
    'chunked twice': chunked(CHUNKS, CHUNKED),
    'a list of codings': response(
        b'Transfer-Encoding: chunked, identity', body=CHUNKS
    ),
    'an unknown coding': response(
        b'Transfer-Encoding: gzip, chunked', body=CHUNKS
    ),
    'no chunks': response(b'Transfer-Encoding: xchunked', body=CHUNKS),
    'an empty coding': response(b'Transfer-Encoding:', body=CHUNKS),
    'chunks in HTTP/1.0': chunked(CHUNKS, status=b'HTTP/1.0 200 OK'),
    'chunks and a length': chunked(CHUNKS, b'Content-Length: 2'),
    'two lengths': response(b'Content-Length: 2', b'Content-Length: 1'),
    'a list of lengths': response(b'Content-Length: 2, 2'),
    'a length with a sign': response(b'Content-Length: +2'),
    'an empty length': response(b'Content-Length:'),
    'a length of 64 bits': response(b'Content-Length: 18446744073709551615'),
    'a field that the library refuses': with_field(b'Sec-WebSocket-Key1: 1'),
    'an invalid interim head': (
        b'HTTP/1.1 103 X\r\nContent-Length : 2\r\n\r\n' + response()
    ),
    'a chunk that is too long': chunked(b'2\r\nokay\r\n0\r\n\r\n'),
    'a chunk size that is no number': chunked(b'0x2\r\nok\r\n0\r\n\r\n'),
    'a signed chunk size': chunked(b'+2\r\nok\r\n0\r\n\r\n'),
    'an empty chunk size': chunked(b'\r\nok\r\n0\r\n\r\n'),
    'control byte in an extension': chunked(b'2;\x01\r\nok\r\n0\r\n\r\n'),
    'control byte in a trailer': chunked(b'2\r\nok\r\n0\r\nX: \x01\r\n\r\n'),
    'NUL in a trailer': chunked(b'2\r\nok\r\n0\r\nX: \x00\r\n\r\n'),
    'blank in a trailer': chunked(b'2\r\nok\r\n0\r\nX Y: 1\r\n\r\n'),
    'blank after a trailer': chunked(b'2\r\nok\r\n0\r\nX : 1\r\n\r\n'),
}

# Each with the fields, but those of the connection, that a caller gets.
VALID = {
    'a length': (response(), ()),
    'no reason': (with_status(b'HTTP/1.1 200 '), ()),
    'neither reason nor blank': (with_status(b'HTTP/1.1 200'), ()),
    'a long reason': (with_status(b'HTTP/1.1 200 All \xe9 is\twell'), ()),
    'version 1.0': (with_status(b'HTTP/1.0 200 OK'), ()),
    'lines that end with LF': (response().replace(b'\r\n', b'\n'), ()),
    'two fields of one name': (
        response(b'X-Two: 1', b'X-Two: 2', b'Content-Length: 2'),
        (b'X-Two: 1', b'X-Two: 2'),
    ),
    'many fields': (
        response(*[b'X: 1'] * 2000, b'Content-Length: 2'),
        (b'X: 1',) * 2000,
    ),
    'blanks around a value': (
        with_field(b'X-Blank: \t a b \t '),
        (b'X-Blank: a b',),
    ),
    'high bytes in a value': (
        with_field(b'X-High: caf\xe9 \xc3\xa9 \xff'),
        (b'X-High: caf\xe9 \xc3\xa9 \xff',),
    ),
    'an empty value': (with_field(b'X-Empty:'), (b'X-Empty: ',)),
    'any token as a name': (
        with_field(b"!#$%&'*+-.^_`|~09aZ: 1"),
        (b"!#$%&'*+-.^_`|~09aZ: 1",),
    ),
    'a folded length': (response(b'Content-Length:\r\n 2'), ()),
    'a folded value': (with_field(b'X-Fold: a\r\n b'), (b'X-Fold: a b',)),
    'zeros before a length': (response(b'Content-Length: 002'), ()),
    'interim heads': (
        b'HTTP/1.1 103 X\r\nLink: x\r\n\r\n' * 3 + response(),
        (),
    ),
    'an unknown interim head': (
        b'HTTP/1.1 199 X\r\n\r\n' + response(),
        (),
    ),
    'chunks': (chunked(CHUNKS), ()),
    'an upper-case coding': (
        response(b'transfer-encoding: CHUNKED', body=CHUNKS),
        (),
    ),
    'an empty item of the list': (
        response(b'Transfer-Encoding: , chunked', body=CHUNKS),
        (),
    ),
    'zeros before a chunk size': (
        chunked(b'0002\r\nok\r\n000\r\n\r\n'),
        (),
    ),
    'chunk extensions': (chunked(b'2;a="b;c"\r\nok\r\n0;x\r\n\r\n'), ()),
    'chunks of one byte': (
        chunked(b'1\r\no\r\n1\r\nk\r\n0\r\n\r\n'),
        (),
    ),
    'trailers': (
        chunked(b'2\r\nok\r\n0\r\nX-T: \xe9\r\nX-U:\r\n\r\n'),
        (),
    ),
    'an upgrade that is only offered': (
        response(
            b'Upgrade: h2c', b'Connection: upgrade', b'Content-Length: 2'
        ),
        (b'Upgrade: h2c',),
    ),
    'bytes after it': (response() + b'\x00more', ()),
    'another response after it': (
        response() + with_status(b'HTTP/1.1 000 X'),
        (),
    ),
    'bytes after its chunks': (chunked(CHUNKS) + b'more', ()),
}
