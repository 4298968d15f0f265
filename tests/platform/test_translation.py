"""Tests of the adapter between the platform's protocols and ours."""

import json

import multidict
import pytest

from adapter import _backendlist
from adapter import _enginedialect
from adapter import _operators
from adapter import _settings
from bulrushhold import calls
from bulrushhold import errors
from bulrushhold import routes
from bulrushhold import settings
from tests.platform import decoding


def sent_headers(call, **options):
    attempt = calls.Attempt('10.0.0.1:80', 'i-1', 'acct', 1.25, **options)
    pairs = _enginedialect.PlatformEngineDialect().request_headers(
        call, attempt
    )
    return multidict.CIMultiDict(pairs)


def test_a_request_is_decoded():
    call = decoding.decode_call()
    assert call.ident == 'req-1'
    assert call.host == 'forms.example'
    assert call.key == 'secret'
    assert call.timeout_s == 2.5
    assert call.last_event_id == 12
    assert call.resumes == 'req-0'
    assert call.prompt == calls.Prompt(1460, 80, ('5c1e', '91bd'))


@pytest.mark.parametrize(
    'name',
    [
        'Bulrushhold-Tenant',
        'Bulrushhold-Expect-Instance',
        'Bulrushhold-Hold',
        'Bulrushhold-Pin-Ms',
        'Bulrushhold-Kv-Backup',
        'Kv-From',
        'Kv-Fetch',
        'Bulrushhold-Request-Priority',
        'Bulrushhold-Expect-Version',
        'Bulrushhold-Credential',
        'Connection',
    ],
)
def test_reserved_headers_from_callers_are_dropped(name):
    headers = multidict.CIMultiDict(decoding.HEADERS)
    headers[name] = 'forged'
    assert 'forged' not in sent_headers(decoding.decode_call(headers)).values()


@pytest.mark.parametrize(
    ('priority', 'sent'), [(None, None), (0, '0'), (3, '3'), (12, '9')]
)
def test_a_priority_is_sent_only_where_admission_is_ordered(priority, sent):
    headers = sent_headers(decoding.decode_call(), priority=priority)
    assert headers.get('Bulrushhold-Request-Priority') == sent


def test_headers_listed_in_connection_are_not_forwarded():
    headers = multidict.CIMultiDict(decoding.HEADERS)
    headers['Connection'] = 'close, X-Own'
    assert 'X-Own' not in sent_headers(decoding.decode_call(headers))


def test_attempt_headers_name_deadline_and_instance():
    headers = sent_headers(
        decoding.decode_call(),
        last_event_id=7,
        backup='10.0.0.2:80',
        copy=calls.RunCopy('10.0.0.3:80'),
    )
    assert headers['Bulrushhold-Deadline-Ms'] == '1250'
    assert headers['Bulrushhold-Expect-Instance'] == 'i-1'
    assert headers['Bulrushhold-Tenant'] == 'acct'
    assert headers['Last-Event-Id'] == '7'
    assert headers['Bulrushhold-Kv-Backup'] == '10.0.0.2:80'
    assert headers['Kv-From'] == '10.0.0.3:80/req-1'
    assert headers['X-Own'] == 'kept'
    assert len(headers.getall('Last-Event-Id')) == 1


def test_requested_copy_is_addressed_by_its_handle():
    headers = sent_headers(
        decoding.decode_call(), copy=calls.RunCopy('10.0.0.3:80', 'h7')
    )
    assert headers['Kv-From'] == '10.0.0.3:80/h7'


def test_response_is_checked_by_id_stamp_and_encoding():
    stamped = decoding.decode_head(**{'Bulrushhold-Response-Stamp': 's'})
    assert (
        stamped.matches_request
        and stamped.from_backend
        and not stamped.not_run
    )
    assert not decoding.decode_head(
        **{'Bulrushhold-Request-Id': 'req-2'}
    ).matches_request
    assert not decoding.decode_head(
        **{'Content-Encoding': 'gzip'}
    ).matches_request
    assert not decoding.decode_head().from_backend
    assert decoding.decode_head(503, **{'Bulrushhold-Not-Run': '1'}).not_run
    assert decoding.decode_head(421).not_run
    assert not decoding.decode_head(500).not_run


def test_load_header_is_decoded_or_ignored():
    load = decoding.decode_head(**{'Bulrushhold-Instance-Load': '3,1,8'}).load
    assert load == calls.BackendLoad(3, 1, 8)
    assert (
        decoding.decode_head(**{'Bulrushhold-Instance-Load': 'x'}).load is None
    )


@pytest.mark.parametrize(
    'name', ['Bulrushhold-Deadline-Ms', 'Bulrushhold-Token-Counts']
)
def test_malformed_header_is_rejected_by_name(name):
    headers = multidict.CIMultiDict(decoding.HEADERS)
    headers[name] = 'x'
    with pytest.raises(errors.RequestError) as exc_info:
        decoding.decode_call(headers)
    assert exc_info.value.status == 400
    assert name in exc_info.value.reason


# Route map documents

DOCUMENT = {
    'config-version': 7,
    'routes': [
        {
            'name': 'r-1',
            'hostname': 'forms.example',
            'path-prefix': '/a/',
            'kind': 'streaming',
            'timeout-ms': 25000,
            'target-latency-ms': 4500,
            'priority': 1,
            'weighted-backends': [
                {'service': 's-1', 'weight': 90},
                {'service': 's-2', 'weight': 10},
            ],
            'max-attempts': 5,
            'public': False,
            'sticky': True,
            'resumable': True,
            'target-gap-ms': 700,
        },
        {
            'name': 'r-2',
            'hostname': 'forms.example',
            'path-prefix': '/b/',
            'kind': 'unsafe',
            'timeout-ms': 3000,
            'service': 's-2',
        },
    ],
    'services': [
        {'name': 's-1', 'max-conns': 370, 'engine': {'backups': True}},
        {'name': 's-2', 'max-conns': 110},
    ],
    'limits': {'idle-timeout-ms': 15000, 'new-field': 1},
    'tenants': [{'name': 't-1', 'api-keys': ['k-1'], 'priority': 1}],
}


def test_document_is_decoded_into_a_route_map():
    route_map = _operators.read_document(json.dumps(DOCUMENT).encode())
    stream, at_most_once = route_map.routes
    assert route_map.version == 7
    assert stream.kind is routes.Kind.STREAM
    assert stream.repeatable and stream.timeout_s == 25.0
    assert [item.weight for item in stream.targets] == [90, 10]
    assert (
        at_most_once.kind is routes.Kind.ONCE and not at_most_once.repeatable
    )
    assert route_map.services[0].backups
    assert route_map.accounts == [routes.ClientAccount('t-1', ['k-1'], 1)]


def modified_document(path, value):
    document = json.loads(json.dumps(DOCUMENT))
    *parents, last = path
    item = document
    for step in parents:
        item = item[step]
    item[last] = value
    return json.dumps(document).encode()


@pytest.mark.parametrize(
    'data',
    [
        json.dumps(DOCUMENT).encode()[:-20],
        b'',
        b'[]',
        json.dumps({**DOCUMENT, 'x': 'y'}).encode().replace(b'"y"', b'"\xff"'),
        modified_document(('routes', 1, 'service'), 'nobody'),
        modified_document(('routes', 0, 'service'), 'nobody'),
        modified_document(('routes', 1, 'path-prefix'), '/a/'),
        modified_document(
            ('routes', 0, 'weighted-backends', 0, 'weight'), -10
        ),
        modified_document(('routes', 1, 'timeout-ms'), 0),
        modified_document(('routes', 1, 'service'), None),
        modified_document(
            ('tenants',),
            [
                {'name': 'x', 'api-keys': ['k']},
                {'name': 'y', 'api-keys': ['k']},
            ],
        ),
        modified_document(('config-version',), 'seven'),
    ],
)
def test_invalid_document_is_rejected(data):
    with pytest.raises(errors.RouteMapError):
        _operators.read_document(data)


def test_a_known_service_beside_weights_changes_nothing():
    document = modified_document(('routes', 0, 'service'), 's-2')
    [stream, _] = _operators.read_document(document).routes
    assert [item.weight for item in stream.targets] == [90, 10]


# Backend list


def test_backend_list_item_is_decoded():
    backend = _backendlist._parse_backend({**decoding.ITEM, 'more': 1})
    assert backend.leaving and backend.data_centre == 'north'
    assert backend.version == 'v1'


def test_version_of_a_backend_is_decoded():
    item = {**decoding.ITEM, 'config-version': 'v2'}
    assert _backendlist._parse_backend(item).version == 'v2'


@pytest.mark.parametrize(
    'change',
    [
        {'id': 7},
        {'service': None},
        {'address': 'nowhere'},
        {'state': 'starting'},
        {'state': ['ready']},
        {'slots': '8'},
        {'zone': ''},
        {'config-version': 2},
        {'id': 'i-\ud800'},
        {'id': 'i-1\r\nX: y'},
        {'service': 's\udcff'},
        {'config-version': 'v\x00'},
        {'address': '10.0.0.1:99999'},
        {'address': '10.0.0.1:\u0661'},
        {'address': 'name.example:80'},
        {'address': '10.0.0.1/x:80'},
        {'slots': 1 << 64},
        {'slots': True},
        {'slots': float('inf')},
        {'config-version': ''},
        {'cold-left-ms': None},
        {'cold-left-ms': '0'},
        {'cold-left-ms': True},
        {'cold-left-ms': float('nan')},
    ],
)
def test_an_invalid_item_of_the_list_is_rejected_when_decoded(change):
    # Guards against an item that fails later, in the loops that use the list.
    with pytest.raises(_backendlist._InvalidItemError):
        _backendlist._parse_backend({**decoding.ITEM, **change})
    with pytest.raises(_backendlist._InvalidItemError):
        _backendlist._parse_backend('text')


@pytest.mark.parametrize('cold_left_ms', [0, 1500, 0.5, 10**400])
def test_an_item_may_have_any_number_of_cold_milliseconds(cold_left_ms):
    item = {**decoding.ITEM, 'cold-left-ms': cold_left_ms}
    assert _backendlist._parse_backend(item).ident == 'i-1'


@pytest.mark.parametrize('name', [*decoding.ITEM])
def test_an_item_without_a_field_names_no_server(name):
    # Guards against bookings at a server of another installation.
    item = {key: v for key, v in decoding.ITEM.items() if key != name}
    with pytest.raises(_backendlist._InvalidItemError, match=name):
        _backendlist._parse_backend(item)


# Settings

SETTINGS = """
node-name = "front-a-1"
ip = "10.1.0.19"
zone = "a"
internal-ports = [7340, 7355]
seeds = ["10.1.0.19:8229", "10.2.0.36:8229", "10.3.0.3:8229"]
bootstrap = true
data-dir = "/data/x"
unknown = 1
[listen]
control = "10.1.0.19:8229"
[fault-tolerance]
machines = 1
[bounds]
grace-s = 8
retry-budget-ratio = 0.8
[cloud]
address = "10.200.0.61:8223"
"""


def load_settings(tmp_path, text=SETTINGS):
    path = tmp_path / 'local.toml'
    path.write_text(text, errors='surrogateescape')
    return _settings.load(str(path))


def test_limits_of_clients_may_be_set(tmp_path):
    assert load_settings(tmp_path).clients == settings.Clients()
    text = f'{SETTINGS}[clients]\nmax_connections = 50'
    assert load_settings(tmp_path, text).clients.max_connections == 50


def test_only_the_first_seed_bootstraps_the_log(tmp_path):
    node = load_settings(tmp_path)
    assert node.bootstraps
    control = node.control()
    assert control.name == '10-1-0-19' and control.founds
    assert [str(peer) for peer in control.contacts] == [
        '10.1.0.19:7341',
        '10.2.0.36:7341',
        '10.3.0.3:7341',
    ]
    assert control.voters == 3
    second = load_settings(
        tmp_path, SETTINGS.replace('ip = "10.1.', 'ip = "10.2.')
    )
    assert not second.bootstraps


@pytest.mark.parametrize(
    'text',
    [
        SETTINGS.replace('bootstrap = true', 'bootstrap = false'),
        SETTINGS.replace('ip = "10.1.0.19"', 'ip = "10.1.0.77"'),
    ],
)
def test_other_instances_join_and_never_bootstrap(tmp_path, text):
    # An instance that lost its disk or replaces another must not bootstrap a
    # second log: acknowledged writes would be lost.
    node = load_settings(tmp_path, text)
    assert not node.bootstraps
    assert list(node.control().replicas) == [node.control().name]
    assert len(node.control().contacts) == 3


def test_voter_count_covers_the_tolerated_failures(tmp_path):
    text = SETTINGS.replace('machines = 1', 'machines = 2')
    assert load_settings(tmp_path, text).control().voters == 5


def test_limits_of_the_instance_are_decoded(tmp_path):
    limits = '[limits]\ncpu-share = 0.5\ncores = 1.5\nmemory-mb = 128'
    found = load_settings(tmp_path, f'{SETTINGS}{limits}')
    assert (found.cores, found.memory_bytes) == (0.75, 128 << 20)
    assert found.has_disk and not found.max_files
    assert not load_settings(tmp_path).memory_bytes


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (SETTINGS.replace('ip = "10.1.0.19"', ''), 'ip'),
        (SETTINGS.replace('[7340, 7355]', '"x"'), 'internal-ports'),
        (SETTINGS.replace('10.2.0.36:8229', 'there'), 'there'),
        ('= broken', 'line 1'),
        ('a = ' + '[' * 100_000, 'recursion'),
        (SETTINGS.replace('10.2.0.36:8229', '10.2.0.36:99999'), 'port'),
        (SETTINGS.replace('10.2.0.36:8229', 'a b:80'), 'host'),
        (SETTINGS + '\udcff', 'utf-8'),
        (f'{SETTINGS}[limits]\nmemory-mb = -1', 'limits.memory-mb'),
        (f'{SETTINGS}[limits]\nmax-fds = 1.5', 'limits.max-fds'),
        (f'{SETTINGS}[limits]\ncpu-share = "x"', 'limits.cpu-share'),
        (f'{SETTINGS}[clients]\nmax_head_bytes = 0', 'max_head_bytes'),
        (f'{SETTINGS}[clients]\nidle_timeout_s = "x"', 'idle_timeout_s'),
    ],
)
def test_invalid_settings_are_reported_on_one_line(tmp_path, text, expected):
    with pytest.raises(errors.SettingsError) as exc_info:
        load_settings(tmp_path, text)
    assert expected in str(exc_info.value)
    assert '\n' not in str(exc_info.value)


@pytest.mark.parametrize(
    ('status', 'headers', 'body', 'expected'),
    [
        (200, {'Bulrushhold-Instance-Id': 'i-1'}, b'', True),
        (200, {'Bulrushhold-Instance-Id': 'i-2'}, b'', False),
        (421, {'Bulrushhold-Not-Run': '1'}, b'', False),
        (400, {'Bulrushhold-Not-Run': '1'}, b'', True),
        (404, {'Bulrushhold-Instance-Load': '0,0,6'}, b'', True),
        (200, {}, b'{"born":1700000000000}', True),
        (200, {}, b'{"running":0}', False),
        (200, {}, b'hello', False),
        (404, {}, b'{"born":1700000000000}', False),
        (500, {}, b'', False),
    ],
)
def test_a_server_is_identified_by_what_only_servers_say(
    status, headers, body, expected
):
    # Guards against bookings that are sent to any process that listens.
    engines = _enginedialect.PlatformEngineDialect()
    pairs = multidict.CIMultiDict(headers)
    assert engines.identifies(status, pairs, body, 'i-1') is expected
