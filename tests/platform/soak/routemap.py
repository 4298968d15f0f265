"""The route map that a soak's operator edits."""

from tests.platform.soak import fakes

API_KEY = 'key-1'
# Objective for the first event of each priority's streams.
TARGETS_MS = {0: 4000, 1: 5000, 2: 10000}
CALLER_TIMEOUT_MS = 25000


def _route(name, prefix, kind, service, **fields):
    return {
        'name': name,
        'hostname': 'soak.example',
        'path-prefix': prefix,
        'kind': kind,
        'timeout-ms': 10000,
        'target-latency-ms': 1000,
        'service': service,
        'max-attempts': 5,
        **fields,
    }


def make_route_map(version):
    """Return the document of a version, with a route of its own."""
    return {
        'config-version': version,
        'routes': [
            _route(
                'r1', fakes.STREAM_PATH, 'streaming', 's-model', resumable=True
            ),
            _route('r2', fakes.UNSAFE_PATH, 'unsafe', 's-desk'),
            _route('r3', fakes.SAFE_PATH, 'safe', 's-desk'),
            _route('r4', f'/v{version}/', 'safe', 's-desk'),
        ],
        'services': [
            {'name': 's-model', 'engine': {'kv-capacity-tokens': 88000}},
            {'name': 's-desk'},
        ],
        'tenants': [
            {'name': fakes.DEFAULT_ACCOUNT, 'api-keys': [API_KEY]},
        ],
    }


def stream_path(priority):
    """Return the prefix of the streaming route of a priority."""
    return f'{fakes.STREAM_PATH}p{priority}/'


def account_key(account):
    """Return the key of a client account."""
    return API_KEY if account == fakes.DEFAULT_ACCOUNT else f'key-{account}'


def make_priority_routes(service='s-model'):
    """Return a streaming route for each priority."""
    return [
        _route(
            f'p{priority}',
            stream_path(priority),
            'streaming',
            service,
            resumable=True,
            priority=priority,
            **{
                'target-latency-ms': target_ms,
                'target-gap-ms': 1000,
                'timeout-ms': CALLER_TIMEOUT_MS,
            },
        )
        for priority, target_ms in TARGETS_MS.items()
    ]


def make_many_routes(count, first_moved, moved_count):
    """Return routes of streams of three priorities, some led elsewhere.

    :param first_moved: number of the first one that is.
    """
    moved = {(first_moved + n) % count for n in range(moved_count)}
    return [
        _route(
            f'many-{number}',
            f'/many/{number}/',
            'streaming',
            's-other' if number in moved else 's-model',
            resumable=True,
            priority=number % 3,
        )
        for number in range(count)
    ]


def make_large_route(prefix):
    """Return the route of large responses."""
    return _route(
        'large',
        prefix,
        'safe',
        's-files',
        **{'timeout-ms': CALLER_TIMEOUT_MS},
    )


def make_accounts(names):
    """Return client accounts with a key each."""
    return [{'name': n, 'api-keys': [account_key(n)]} for n in names]
