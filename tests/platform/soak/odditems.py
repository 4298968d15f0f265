"""Odd items of the platform's list, drawn by a generator.

They are what another writer of the list may leave there: items whose fields
have other types or values, bytes that aren't JSON, values that nest, and
addresses of something that isn't a backend server. All addresses are loopback
addresses or no addresses at all.
"""

import json
import re
import time

LOOPBACK_HOSTS = ('127.0.0.1', '::1', '::ffff:127.0.0.1', '127.9.9.9')
# Something at which no process listens.
UNUSED_ADDRESS = '127.9.9.9:9'
_IPV4_ADDRESS = re.compile(rb'[0-9]+(?:\.[0-9]+){3}:[0-9]+')
MAX_UNUSED_PORT = 9
MAX_STAY_S = 3.0
MAX_STAYING = 2
MAX_NEW = 2
BRACKETS = (b'{', b'[', b'}', b']', b'{"a":', b'[{', b'"', b'\\', b',')
FRAGMENTS = (
    *BRACKETS,
    b'},{',
    b'"next":null}',
    b'"instances":[',
    b'null',
    b'-',
    b'1e999',
    b'NaN',
    b'\xff',
    b'\x00',
    b'\xed\xa0\x80',
    b'\\ud800',
    b'\xef\xbb\xbf',
    b'\n',
)
CHARACTERS = (
    '[]%:/?#@ \\\t.,-_~"\'<>{}|^`=&+\xa0\xadé中\u200b\u0660\ud800\U0001f600'
)


def draw_text(rng, length=12):
    return ''.join(
        rng.choice(CHARACTERS) for _ in range(rng.randint(0, length))
    )


def draw_address(rng, port=None):
    """Return a text near an address; loopback if it is one."""
    host = rng.choice(LOOPBACK_HOSTS)
    port = port or rng.randint(1, MAX_UNUSED_PORT)
    changed = rng.choice(
        (
            host,
            f'[{host}]',
            f'[{host}',
            f'{host}]',
            f'[[{host}]]',
            f'{host}%{draw_text(rng, 3)}',
            f'[{host}%{draw_text(rng, 3)}]',
            draw_text(rng, 4) + host,
            host + draw_text(rng, 4),
        )
    )
    ending = rng.choice(
        (
            str(port),
            f'0{port}',
            f'{port:05d}',
            f'+{port}',
            f' {port}',
            f'{port}/{draw_text(rng, 4)}',
            '٣',
            '²',
            '65536',
            '-1',
            '',
        )
    )
    return rng.choice(
        (f'{changed}:{port}', f'{changed}:{port}', f'{changed}:{ending}')
    )


def draw_number(rng):
    return rng.choice(
        (
            0,
            -1,
            1,
            2**31,
            2**53 + 1,
            2**63,
            2**64,
            -(2**64),
            10**18,
            1.5,
            1e308,
            float('nan'),
            float('inf'),
            True,
            10**400,
        )
    )


def draw_value(rng, depth=0):
    """Return any JSON value, a little nested."""
    kind = rng.randrange(5 if depth < 3 else 3)
    if kind == 0:
        return draw_number(rng)
    if kind == 1:
        return draw_text(rng)
    if kind == 2:
        return rng.choice((None, True, False, '', 'draining', 'ready'))
    values = [draw_value(rng, depth + 1) for _ in range(rng.randint(0, 3))]
    if kind == 3:
        return values
    return {draw_text(rng, 4): value for value in values}


def draw_fields(rng, sound):
    """Return an item, near a sound one, with a few odd fields."""
    item = {
        **sound,
        'id': f'i-odd-{rng.randrange(10**6)}',
        'address': draw_address(rng),
    }
    for name in rng.sample(list(item), rng.randint(0, 2)):
        if rng.random() < 0.3:
            del item[name]
        elif name == 'address':
            item[name] = rng.choice((draw_address(rng), draw_value(rng)))
        elif name == 'service':
            # The service itself, with other fields odd, costs most.
            item[name] = rng.choice((sound['service'], draw_text(rng)))
        else:
            item[name] = draw_value(rng)
    return json.dumps(item, ensure_ascii=rng.random() < 0.5).encode(
        errors='surrogatepass'
    )


def draw_nested(rng, sound):
    """Return values that nest deeply, in an item or instead of one."""
    depth = int(10 ** rng.uniform(1, 5))
    opening = rng.choice((b'[', b'{"a":', b'{', b'[{', b'[{"a":'))
    closing = {
        b'[': b']',
        b'{"a":': b'}',
        b'{': b'}',
        b'[{': b'}]',
        b'[{"a":': b'}]',
    }[opening]
    closed = rng.choice((0, depth, depth, depth // 2, depth + 1))
    nested = opening * depth + rng.choice((b'', b'1')) + closing * closed
    if rng.random() < 0.5:
        return nested
    text = json.dumps(sound).encode()
    return text[:-1] + b',"models":' + nested + b'}'


def draw_repeated(rng, sound):
    """Return a fragment many times."""
    del sound
    return rng.choice(FRAGMENTS) * int(10 ** rng.uniform(0, 4.5))


def draw_broken(rng, sound):
    """Return a sound item's bytes with some replaced, added or cut off."""
    data = bytearray(json.dumps(sound).encode())
    for _ in range(rng.randint(1, 4)):
        start = rng.randrange(len(data) + 1)
        end = min(len(data), start + rng.choice((0, 0, 1, 1, 5, 50)))
        data[start:end] = rng.choice(
            (b'', rng.choice(FRAGMENTS), rng.randbytes(rng.randint(1, 4)))
        )
    # One with the ident of a sound engine would be another matter.
    return bytes(data).replace(sound['id'].encode(), b'i-broken')


def draw_bytes(rng, sound):
    """Return arbitrary bytes, or fragments of JSON in any order."""
    del sound
    if rng.random() < 0.3:
        return rng.randbytes(rng.randint(1, 400))
    count = rng.randint(1, 60)
    return b''.join(rng.choice(FRAGMENTS) for _ in range(count))


KINDS = {
    'fields': draw_fields,
    'nested': draw_nested,
    'repeated': draw_repeated,
    'broken': draw_broken,
    'bytes': draw_bytes,
}


def draw_item(rng, sound, kinds=tuple(KINDS)):
    """Return the bytes of an odd item.

    :param sound: a sound item of the service that it is most like.
    """
    return KINDS[rng.choice(kinds)](rng, sound)


def draw_listed(rng, sound, kinds=tuple(KINDS)):
    """Return an odd item of a list that processes follow.

    It names no address of another machine or program, as broken ones may.
    """
    while True:
        item = draw_item(rng, sound, kinds)
        found = _IPV4_ADDRESS.findall(item)
        if all(_is_known(a, sound) for a in found):
            return item


def _is_known(address, sound):
    host, _, port = address.decode().partition(':')
    usable = MAX_UNUSED_PORT < int(port) < 65536
    if host in LOOPBACK_HOSTS and not usable:
        return True
    return address == sound['address'].encode()


class OddItems:
    """Odd items of a list; some stay for a while, others are always new.

    :param rng: also draws their places, and the order of a page's fields.
    """

    def __init__(self, rng):
        self.rng = rng
        self.staying = []
        self.stay_until = 0.0

    def draw(self, sound):
        """Return the odd items of an answer that shows sound ones."""
        now = time.monotonic()
        if now >= self.stay_until:
            self.staying = self._draw_some(sound, MAX_STAYING)
            self.stay_until = now + MAX_STAY_S * self.rng.random()
        # Two servers with one ident are another matter.
        idents = [json.dumps(item['id']).encode() for item in sound]
        return [
            item
            for item in self.staying + self._draw_some(sound, MAX_NEW)
            if not any(ident in item for ident in idents)
        ]

    def _draw_some(self, sound, most):
        return [
            draw_listed(self.rng, self.rng.choice(sound))
            for _ in range(self.rng.randint(0, most))
        ]
