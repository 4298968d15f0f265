"""Input from outside that the soak's processes must reject item by item."""

import json

import aiohttp

UNREADABLE_ITEMS = (
    b'{"id":7,"state":"odd"}',
    b'{"id":"i-\xff\xfe","state":"ready"}',
    b'{"id":\xff}',
    b'{"id":"i-\\ud800","service":"other","address":"127.9.9.9:80",'
    b'"zone":"z","slots":4,"state":"ready","config-version":"v1"}',
    b'{"id":"i-x","service":"s-desk","address":"127.9.9.9:99999",'
    b'"zone":"z","slots":4,"state":"ready","config-version":"v1"}',
    b'{"id":"i-y","service":"s-desk","address":"127.9.9.9:80",'
    b'"zone":"z","slots":18446744073709551616,"state":"ready"}',
    b'{"slots":' + b'9' * 5000 + b'}',
    b'{"id":"i-9,"state":"ready"}',
)
BAD_HEADERS = (
    {'Bulrushhold-Token-Counts': f'{1 << 64},40'},
    {'Bulrushhold-Token-Counts': f'40,{1 << 70}'},
    {
        'Bulrushhold-Token-Counts': '40,40',
        'Bulrushhold-Prompt-Prefix': 'a\udcff:100',
    },
    {'Last-Event-Id': str(1 << 64), 'Resumes': 'r'},
)


def encode_list(items, rng):
    """Return the platform's list with a few unreadable items among others."""
    texts = [json.dumps(item).encode() for item in items]
    for item in rng.sample(UNREADABLE_ITEMS, rng.randrange(4)):
        texts.insert(rng.randint(0, len(texts)), item)
    return b'{"instances":[' + b','.join(texts) + b'],"next":null}'


async def send_bad_request(session, url, key, rng):
    """Send a request that no entry can decode; return its status."""
    headers = {
        'Host': 'soak.example',
        'Bulrushhold-Request-Id': f'bad-{rng.random()}',
        'Bulrushhold-Credential': key,
        'Bulrushhold-Deadline-Ms': '2000',
        **rng.choice(BAD_HEADERS),
    }
    try:
        async with session.post(url, data=b'body', headers=headers) as reply:
            return reply.status
    except (aiohttp.ClientError, OSError, TimeoutError):
        return None
