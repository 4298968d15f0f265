"""Fuzz tests of all decoders of external input.

Malformed input must raise the documented error and no other. Each run
uses the same examples; ``FUZZ_EXAMPLES=10000`` runs as many random ones.
"""

import asyncio
import json
import math
import os

import hypothesis
from hypothesis import strategies as st
import multidict
import pytest

from adapter import _backendlist
from adapter import _callerdialect
from adapter import _enginedialect
from adapter import _operators
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import node
from tests.platform import decoding

EXAMPLES = int(os.environ.get('FUZZ_EXAMPLES', '0'))
fuzzed = hypothesis.settings(
    max_examples=EXAMPLES or 200,
    derandomize=not EXAMPLES,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=12), inner, max_size=4)
    ),
    max_leaves=12,
)
DEEPLY_NESTED = st.sampled_from(
    [b'[' * 100_000, b'{"held":' * 100_000, b'{"a":' * 9999]
)
BODY = st.binary(max_size=200) | JSON.map(lambda j: json.dumps(j).encode())
HEADER = st.text(
    st.characters(min_codepoint=32, max_codepoint=255), max_size=30
)
NUMBER = st.sampled_from(
    ['5', 'nan', 'inf', '-inf', '-1', '1e999', '1_0', '٣']
)


def make_document(**changes):
    route = {
        'hostname': 'h',
        'path-prefix': '/a/',
        'kind': 'safe',
        'timeout-ms': 3000,
        'service': 's',
    }
    original = {
        'config-version': 3,
        'routes': [route],
        'services': [{'name': 's'}],
        'tenants': [{'name': 'a', 'api-keys': ['k']}],
    }
    return {**original, **changes}


@fuzzed
@hypothesis.given(BODY | DEEPLY_NESTED)
def test_route_map_is_decoded_or_rejected(body):
    try:
        _operators.read_document(body)
    except errors.RouteMapError as error:
        assert str(error)


@fuzzed
@hypothesis.given(
    st.sampled_from(['config-version', 'routes', 'services', 'tenants', 'x']),
    JSON,
)
def test_route_map_field_is_decoded_or_rejected(name, value):
    try:
        body = json.dumps(make_document(**{name: value})).encode()
        route_map = _operators.read_document(body)
    except errors.RouteMapError as error:
        assert str(error)
    else:
        messages.unpack_map(messages.pack_map(route_map))


@fuzzed
@hypothesis.given(
    BODY | DEEPLY_NESTED,
    st.fixed_dictionaries(
        {
            'service': st.text() | JSON,
            'target': st.text() | JSON,
            'duration-s': st.floats() | JSON,
        }
    ),
)
def test_rollout_order_is_decoded_or_rejected(body, order):
    for data in (body, json.dumps(order).encode()):
        try:
            decoded = _operators.read_rollout_order(data)
        except errors.RolloutOrderError as error:
            assert str(error)
        else:
            assert decoded.target and decoded.duration_s > 0
            assert messages.decode(messages.encode(decoded)) == decoded


@fuzzed
@hypothesis.given(
    JSON,
    st.sampled_from(['id', 'service', 'address', 'zone', 'config-version'])
    | st.sampled_from(['slots', 'state', 'cold-left-ms']),
    st.text(st.characters(exclude_categories=()), max_size=20)
    | st.integers()
    | JSON,
)
def test_backend_list_item_is_decoded_or_skipped(item, name, value):
    valid = {
        'id': 'i-1',
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'config-version': 'v1',
        'slots': 4,
        'state': 'ready',
        'cold-left-ms': 0,
    }
    for candidate in (item, {**valid, name: value}):
        try:
            parsed = _backendlist._parse_backend(candidate)
        except _backendlist._InvalidItemError as error:
            assert str(error)
        else:
            assert parsed.slots >= 1
            assert decisions.BackendList.of([parsed]).digest


@fuzzed
@hypothesis.given(
    st.lists(
        BODY
        | DEEPLY_NESTED
        | st.fixed_dictionaries({'instances': JSON, 'next': JSON}).map(
            lambda page: json.dumps(page).encode()
        ),
        max_size=3,
    )
)
def test_backend_list_is_decoded_or_rejected(bodies):
    backends = _backendlist.PlatformBackendList(
        decoding.PageSession(bodies), '10.0.0.1:1', node.NullMetrics()
    )
    try:
        parsed = asyncio.run(backends.fetch())
    except errors.PeerError as error:
        assert str(error)
    else:
        assert all(backend.ident for backend in parsed)


@fuzzed
@hypothesis.given(BODY | DEEPLY_NESTED)
def test_cache_response_is_decoded_or_rejected(body):
    engines = _enginedialect.PlatformEngineDialect()
    for decode in (engines.decode_segments, engines.decode_copy_name):
        try:
            decode(body)
        except errors.BackendError as error:
            assert str(error)


@fuzzed
@hypothesis.given(
    st.fixed_dictionaries(
        {},
        optional={
            name: NUMBER
            | st.tuples(NUMBER, NUMBER).map(','.join)
            | st.integers().map(str)
            | HEADER
            for name in (
                'Bulrushhold-Request-Id',
                'Bulrushhold-Deadline-Ms',
                'Bulrushhold-Token-Counts',
                'Bulrushhold-Prompt-Prefix',
                'Last-Event-Id',
                'Connection',
            )
        },
    )
)
def test_request_headers_are_decoded_or_rejected(headers):
    headers = {'Bulrushhold-Request-Id': 'r', **headers}
    try:
        call = _callerdialect.PlatformCallerDialect().decode_call(
            'POST', '/a', multidict.CIMultiDict(headers), b''
        )
    except errors.RequestError as error:
        assert error.status == 400
    else:
        assert not math.isnan(call.timeout_s) and call.timeout_s >= 0
        if call.prompt is not None:
            assert min(call.prompt.tokens, call.prompt.max_output_tokens) >= 0


@fuzzed
@hypothesis.given(st.lists(st.binary(max_size=60) | st.just(b'id: 3\n\n')))
def test_event_stream_is_passed_on_unchanged_or_rejected(chunks):
    splitter = forwarding.EventSplitter()
    output = b''
    try:
        for chunk in chunks:
            output += b''.join(event.data for event in splitter.feed(chunk))
    except errors.BackendError as error:
        assert str(error)
    else:
        assert output + splitter.buffer == b''.join(chunks)


@fuzzed
@hypothesis.given(st.binary(max_size=300))
def test_peer_message_is_decoded_or_rejected(data):
    for body in (
        data,
        b'\x92\xaaLoadReport' + data,
        b'\x92\xaaWatchReply' + data,
    ):
        try:
            messages.decode(body)
        except errors.PeerError as error:
            assert str(error)


@pytest.fixture(scope='module')
def written_log(tmp_path_factory):
    folder = tmp_path_factory.mktemp('written')
    initial_config = messages.Config(voters={'c1.founder': '127.0.0.1:1'})
    log = node.FileLog(folder)
    log.write_identity(node.Identity('c1.founder', initial_config))
    log.load(initial_config)
    for number in range(1, 9):
        entry = messages.LogEntry(
            number, 1, messages.KIND_COMMAND, b'data %d' % number
        )
        log.save(1, '', [entry])
    log.close()
    return folder, initial_config, log.log_path.read_bytes()


@fuzzed
@hypothesis.given(
    st.integers(0, 400), st.integers(0, 255), st.integers(0, 400)
)
def test_damaged_log_is_truncated_or_rejected(
    written_log, offset, byte, length
):
    folder, initial_config, original = written_log
    damaged = bytearray(original[: max(1, length)])
    damaged[offset % len(damaged)] = byte
    (folder / 'log').write_bytes(damaged)
    log = node.FileLog(folder)
    try:
        persisted = log.load(initial_config)
    except errors.StorageError as error:
        assert 'log' in str(error)
    else:
        log.close()
        recovered = [entry.data for entry in persisted.entries]
        assert recovered == [
            b'data %d' % n for n in range(1, len(recovered) + 1)
        ]
