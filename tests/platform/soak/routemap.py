"""The route map that a soak's operator edits."""

from tests.platform.soak import fakes

API_KEY = 'key-1'


def make_route_map(version):
    """Return the document of a version, with a route of its own."""

    def route(number, prefix, kind, service, **fields):
        return {
            'name': f'r{number}',
            'hostname': 'soak.example',
            'path-prefix': prefix,
            'kind': kind,
            'timeout-ms': 10000,
            'target-latency-ms': 1000,
            'service': service,
            'max-attempts': 5,
            **fields,
        }

    return {
        'config-version': version,
        'routes': [
            route(
                1, fakes.STREAM_PATH, 'streaming', 's-model', resumable=True
            ),
            route(2, fakes.UNSAFE_PATH, 'unsafe', 's-desk'),
            route(3, fakes.SAFE_PATH, 'safe', 's-desk'),
            route(4, f'/v{version}/', 'safe', 's-desk'),
        ],
        'services': [
            {'name': 's-model', 'engine': {'kv-capacity-tokens': 88000}},
            {'name': 's-desk'},
        ],
        'tenants': [{'name': 'vendors', 'api-keys': [API_KEY]}],
    }
