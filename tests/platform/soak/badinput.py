"""Input from outside that the soak's processes must reject item by item."""

import asyncio
import json
import random
import time

import yarl

UNREADABLE_ITEMS = (
    b'{"id":7,"state":"odd"}',
    b'{"id":"i-\xff\xfe","state":"ready"}',
    b'{"id":\xff}',
    b'{"id":"i-\\ud800","service":"other","address":"127.9.9.9:80",'
    b'"zone":"z","slots":4,"state":"ready","config-version":"v1",'
    b'"cold-left-ms":0}',
    b'{"id":"i-x","service":"s-desk","address":"127.9.9.9:99999",'
    b'"zone":"z","slots":4,"state":"ready","config-version":"v1",'
    b'"cold-left-ms":0}',
    b'{"id":"i-y","service":"s-desk","address":"127.9.9.9:80",'
    b'"zone":"z","slots":18446744073709551616,"state":"ready",'
    b'"config-version":"v1","cold-left-ms":0}',
    b'{"slots":' + b'9' * 5000 + b'}',
    b'{"id":"i-9,"state":"ready"}',
)
BAD_HEADERS = (
    b'Bulrushhold-Token-Counts: 18446744073709551616,40',
    b'Bulrushhold-Token-Counts: 40,1180591620717411303424',
    b'Bulrushhold-Token-Counts: 40,40\r\nBulrushhold-Prompt-Prefix: a\xff:1',
    b'Last-Event-Id: 18446744073709551616\r\nResumes: r',
    b'Resumes: \xff\xfe',
)
STREAM_TARGET = '/stream/bad'
TIMEOUT_S = 3.0


def encode_list(items, rng, odd_items=None):
    """Return the platform's list with a few unreadable items among others.

    :param odd_items: an :class:`odditems.OddItems` that draws more of them.
    """
    texts = [json.dumps(item).encode() for item in items]
    for item in rng.sample(UNREADABLE_ITEMS, rng.randrange(4)):
        texts.insert(rng.randint(0, len(texts)), item)
    is_next_first = False
    if odd_items is not None:
        for item in odd_items.draw(items):
            texts.insert(odd_items.rng.randint(0, len(texts)), item)
        is_next_first = odd_items.rng.random() < 0.5
    instances = b'"instances":[' + b','.join(texts) + b']'
    if is_next_first:
        return b'{"next":null,' + instances + b'}'
    return b'{' + instances + b',"next":null}'


async def send_bad_request(address, target, key, rng):
    """Send a request that no entry can decode; return its status.

    Client libraries send no such bytes.
    """
    host, _, port = address.rpartition(':')
    head = (
        f'POST {target} HTTP/1.1\r\nHost: soak.example\r\n'
        f'Bulrushhold-Request-Id: bad-{rng.random()}\r\n'
        f'Bulrushhold-Credential: {key}\r\nContent-Length: 4\r\n'
    )
    data = head.encode() + rng.choice(BAD_HEADERS) + b'\r\n\r\nbody'
    try:
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(data)
                return int((await reader.readline()).split()[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, IndexError):
        return None


async def send_bad_requests(soak, key, deadline):
    """Send requests to random entries, which must reject them at once."""
    rng = random.Random(f'bad {soak.report.seed}')
    while time.monotonic() < deadline:
        await asyncio.sleep(rng.expovariate(5))
        entry = rng.choice(soak.system.programs_with_role('entry'))
        url = yarl.URL(soak.system.url(entry, 'front', '/'))
        status = await send_bad_request(
            f'{url.host}:{url.port}', STREAM_TARGET, key, rng
        )
        if status not in (None, 400, 503):
            soak.report.violations.append(f'bad request: {status}')
