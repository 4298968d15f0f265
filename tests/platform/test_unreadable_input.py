"""Input from outside that can't be used: rejected where it is decoded."""

import ipaddress
import json
import random
import time
import tracemalloc

import hypothesis
from hypothesis import strategies as st
import pytest
import yarl

from adapter import _backendlist
from adapter import _callerdialect
from adapter import _enginedialect
from adapter import _listpage
from adapter import _operators
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import node
from tests.platform import decoding
from tests.platform.soak import odditems
from tests.platform import test_translation

ITEM = decoding.ITEM
MAX_DECODE_S_PER_BYTE = 30e-6
LOOPBACK = [ipaddress.ip_address(h) for h in odditems.LOOPBACK_HOSTS]
DOCUMENT = test_translation.DOCUMENT

# Documents


@pytest.mark.parametrize(
    'change',
    [
        {'config-version': 1 << 64},
        {
            'services': [
                *DOCUMENT['services'],
                {'name': 'more', 'max-conns': 1 << 64},
            ]
        },
        {
            'services': [
                *DOCUMENT['services'],
                {'name': 'more', 'engine': {'slots': -(1 << 64)}},
            ]
        },
        {'limits': {'max-body-bytes': 1 << 70}},
        {'tenants': [{'name': 'a', 'priority': 1 << 64}]},
    ],
)
def test_a_document_that_cannot_be_stored_is_invalid(change):
    # Guards against an operator who gets 500 for it at each control process.
    document = {**DOCUMENT, **change}
    with pytest.raises(errors.RouteMapError):
        messages.pack_map(
            _operators.read_document(json.dumps(document).encode())
        )


# Requests that can't be encoded in messages

UNENCODABLE_HEADERS = [
    ('Bulrushhold-Token-Counts', f'{1 << 64},80'),
    ('Bulrushhold-Token-Counts', f'80,{1 << 64}'),
    ('Bulrushhold-Prompt-Prefix', 'a\udcff:800'),
    ('Bulrushhold-Request-Id', 'r\udcff'),
    ('Bulrushhold-Credential', 'k\udcff'),
    ('Host', 'h\udcff'),
    ('Resumes', 'r\udcff'),
    ('Last-Event-Id', str(1 << 64)),
    ('Last-Event-Id', str(-(1 << 64))),
]


@pytest.mark.parametrize(('name', 'value'), UNENCODABLE_HEADERS)
def test_a_request_that_no_message_can_hold_is_rejected(name, value):
    # Guards against one request that ends the loop that reports the load.
    headers = decoding.HEADERS.copy()
    headers[name] = value
    with pytest.raises(errors.RequestError) as caught:
        decoding.decode_call(headers)
    assert caught.value.status == 400
    assert name in str(caught.value)


def test_the_largest_prompts_fit_in_a_load_report():
    # Guards against the same by the sum of all requests on an engine.
    tokens = _callerdialect.MAX_TOKENS * 100_000
    load = messages.EngineLoad(tokens, 100_000, 2 * tokens)
    assert messages.encode(
        messages.LoadReport('e1', {'i-1': load}, [], [], {})
    )


@pytest.mark.parametrize('handle', ['a\r\nX: y', 'a b', 'a\ud800', 'ä'])
def test_a_handle_that_is_no_header_is_malformed(handle):
    # Guards against a stream that fails as it goes on from a copy.
    engines = _enginedialect.PlatformEngineDialect()
    with pytest.raises(errors.BackendError):
        engines.decode_copy_name(json.dumps({'handle': handle}).encode())


@pytest.mark.parametrize('event_id', [1 << 63, -(1 << 64)])
def test_an_event_id_that_no_message_can_hold_ends_its_stream(event_id):
    # Guards against a stream that fails as it is resumed through an entry.
    with pytest.raises(errors.BackendError):
        forwarding.EventSplitter().feed(b'id: %d\n\n' % event_id)


@pytest.mark.parametrize(
    ('body', 'expected'),
    [(b'{"born":1700000000000}', 1_700_000_000_000), (b'{"running":0}', None)],
)
def test_the_start_of_a_process_is_decoded(body, expected):
    engines = _enginedialect.PlatformEngineDialect()
    assert engines.decode_start(body) == expected


@pytest.mark.parametrize(
    'body', [b'', b'[]', b'{"born":"x"}', b'{"born":1.5}', b'{"born":true}']
)
def test_a_malformed_start_is_rejected(body):
    # Guards against an engine that passes for one without restarts.
    engines = _enginedialect.PlatformEngineDialect()
    with pytest.raises(errors.BackendError):
        engines.decode_start(body)


# The platform's list


def encode_page(*items, following=b'"p-2"'):
    valid = json.dumps(ITEM).encode()
    texts = b',\n'.join([valid.replace(b'i-1', b'i-0'), *items, valid])
    return b'{"instances":[' + texts + b'],"next":' + following + b'}'


UNREADABLE_ITEMS = {
    'not UTF-8': b'{"id":"i-\xff\xfe","state":"ready"}',
    'lone surrogate': json.dumps({**ITEM, 'id': 'i-\ud800'}).encode(),
    'bytes beside values': b'{"id":\xff\xfe,"state":"ready"}',
    'unclosed text': b'{"id":"i-9,"state":"ready"}',
    'control character': b'{"id":"i-\x01\x00"}',
    'unclosed item': b'{"id":"i-9","models":{"name":"m"}',
    'no JSON': b'<html>',
    'too large number': b'{"slots":' + b'9' * 5000 + b'}',
    'deep nesting': b'{"a":' * 20_000 + b'1' + b'}' * 20_000,
    'brackets': b'{"id":"}]]}{[","x":[}]}',
}


@pytest.mark.parametrize(
    'unreadable', UNREADABLE_ITEMS.values(), ids=UNREADABLE_ITEMS.keys()
)
async def test_an_unreadable_item_hides_no_other_item_of_the_list(unreadable):
    # Guards against a list that isn't followed for as long as the item stays.
    pages = [
        encode_page(unreadable, unreadable),
        encode_page(unreadable, following=b'null'),
    ]
    session = decoding.PageSession(pages)
    backend_list = _backendlist.PlatformBackendList(
        session, '10.0.0.1:1', node.NullMetrics()
    )
    listed = decisions.BackendList.of(await backend_list.fetch())
    assert [item.ident for item in listed.items] == [
        'i-0',
        'i-0',
        'i-1',
        'i-1',
    ]


def test_a_page_that_ends_early_is_no_list():
    # Guards against engines that seem to have left with the rest of a page.
    whole = encode_page(UNREADABLE_ITEMS['not UTF-8'])
    for end in range(1, len(whole)):
        with pytest.raises(ValueError):
            _listpage.decode_page(whole[:end])


class GaugeMetrics(node.NullMetrics):
    def __init__(self):
        self.gauges = {}

    def gauge(self, name, value, labels=None):
        self.gauges[name] = value


async def test_unreadable_parts_of_the_list_show(log_records):
    # Guards against items that a broken one hides without a trace.
    metrics = GaugeMetrics()
    unreadable = UNREADABLE_ITEMS['unclosed text']
    page = encode_page(unreadable, following=b'null')
    session = decoding.PageSession([page])
    backend_list = _backendlist.PlatformBackendList(
        session, '10.0.0.1:1', metrics
    )
    await backend_list.fetch()
    count = metrics.gauges['list.unreadable_characters']
    assert count >= len(unreadable)
    assert log_records[0]['unreadable'] == count


def draw_page(rng):
    """Return a page with odd items, and its sound items."""
    sound = [
        {**ITEM, 'id': f'i-{n}', 'models': [{'name': 'm', 'adapters': []}]}
        for n in range(rng.randint(1, 5))
    ]
    separators = rng.choice([(',', ':'), (', ', ': ')])
    texts = [json.dumps(i, separators=separators).encode() for i in sound]
    for _ in range(rng.randint(1, 3)):
        odd = odditems.draw_item(rng, rng.choice(sound))
        texts.insert(rng.randint(0, len(texts)), odd)
    between = rng.choice([b',', b', ', b',\n'])
    page = b'{"instances":[' + between.join(texts) + b'],"next":"p-2"}'
    return page, sound


@pytest.mark.parametrize('seed', range(300))
def test_an_odd_item_hides_no_item_beside_it(seed):
    # Guards against engines that seem gone, whatever the odd bytes are.
    page, sound = draw_page(random.Random(seed))
    decoded = _listpage.decode_page(page)
    assert [item for item in decoded.items if item in sound] == sound
    assert decoded.next_token == 'p-2'


def test_two_odd_items_that_are_json_together_hide_none_between_them():
    # Guards against items that are taken into a value of an odd one.
    before, between, after = ({**ITEM, 'id': f'i-{n}'} for n in range(3))
    opened, closed = json.dumps({**ITEM, 'models': [1, 2]}).split(', 2')
    texts = [json.dumps(before), opened, json.dumps(between), '2' + closed]
    text = ','.join([*texts, json.dumps(after)])
    page = f'{{"instances":[{text}],"next":null}}'
    items = _listpage.decode_page(page.encode()).items
    for sound in (before, between, after):
        assert sound in items


def test_many_items_beside_an_odd_byte_are_read_in_time():
    # Guards against a list whose reading takes longer than its timeout.
    page = encode_page(*[json.dumps(ITEM).encode()] * 5000, b'x')
    started = time.process_time()
    assert len(_listpage.decode_page(page).items) == 5002
    assert time.process_time() - started < 1.0


def test_odd_bytes_take_little_memory():
    # Guards against processes that exceed their memory while they decode.
    page = encode_page(b'[' * 2_000_000)
    tracemalloc.start()
    try:
        _listpage.decode_page(page)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < 8 * len(page)


@hypothesis.given(st.binary() | st.text().map(str.encode))
def test_arbitrary_bytes_hide_no_item_beside_them(data):
    # Guards against the same for bytes that no generator of ours draws.
    sound = [{**ITEM, 'id': f'i-{n}'} for n in range(2)]
    before, after = (json.dumps(item).encode() for item in sound)
    page = b'{"instances":[%b,%b,%b],"next":null}' % (before, data, after)
    decoded = _listpage.decode_page(page)
    assert [item for item in decoded.items if item in sound] == sound


@pytest.mark.parametrize('count', [10_000, 100_000])
@pytest.mark.parametrize(
    'fragment',
    [*odditems.FRAGMENTS, b'{"a{":', b'{"a":1,"b":', b'{"":{},"":', b'"{":"'],
)
def test_many_odd_bytes_are_read_in_linear_time(fragment, count):
    # Guards against a list that holds up all else in its process.
    page = encode_page(fragment * count)
    started = time.process_time()
    decoded = _listpage.decode_page(page)
    assert time.process_time() - started < MAX_DECODE_S_PER_BYTE * len(page)
    assert [item for item in decoded.items if item == ITEM] == [ITEM]


# Addresses


async def fetch(*items):
    page = json.dumps({'instances': items, 'next': None}).encode()
    session = decoding.PageSession([page])
    return await _backendlist.PlatformBackendList(
        session, '10.0.0.1:1', node.NullMetrics()
    ).fetch()


@pytest.mark.parametrize('seed', range(300))
async def test_a_listed_address_can_be_part_of_a_url(seed):
    # Guards against 500 for all requests whose server has an odd address.
    text = odditems.draw_address(random.Random(seed))
    for backend in await fetch({**ITEM, 'address': text}):
        url = yarl.URL(f'http://{backend.address}/a', encoded=True)
        assert ipaddress.ip_address(url.host) in LOOPBACK
        assert str(url.port) == text.rpartition(':')[2].lstrip('0')


@pytest.mark.parametrize(
    ('text', 'address'),
    [
        ('127.0.0.1:080', '127.0.0.1:80'),
        ('[::1]:80', '[::1]:80'),
        ('::1:80', '[::1]:80'),
    ],
)
async def test_a_listed_address_has_one_form(text, address):
    listed = await fetch({**ITEM, 'address': text})
    assert [item.address for item in listed] == [address]


@pytest.mark.parametrize(
    'text',
    [
        '[127.0.0.1:80',
        '127.0.0.1]:80',
        '[[::1]]:80',
        '[::1%lo]:80',
        '0.0.0.0:80',
        '[::]:80',
        '[::ffff:0.0.0.0]:80',
        '224.0.0.1:80',
        '[ff02::1]:80',
    ],
)
async def test_an_address_of_no_single_server_is_rejected(text):
    # Guards against requests that reach this process itself, or nobody.
    assert await fetch({**ITEM, 'address': text}) == []


# Two items with one ident


OTHER_ADDRESS = '127.9.9.9:9'


@pytest.mark.parametrize('is_first', [False, True])
@pytest.mark.parametrize(
    'change', [{'address': OTHER_ADDRESS}, {'service': 'other'}]
)
async def test_an_item_with_the_ident_of_a_listed_server_is_ignored(
    is_first, change
):
    # Guards against a sound server that is replaced by another one's item.
    other = {**ITEM, **change}
    both = [other, ITEM] if is_first else [ITEM, other]
    pages = [
        json.dumps({'instances': items, 'next': None}).encode()
        for items in ([ITEM], both, both)
    ]
    backend_list = _backendlist.PlatformBackendList(
        decoding.PageSession(pages), '10.0.0.1:1', node.NullMetrics()
    )
    for _ in pages:
        listed = await backend_list.fetch()
        assert [(i.address, i.service) for i in listed] == [
            (ITEM['address'], ITEM['service'])
        ]


async def test_a_server_that_moves_is_found_at_its_new_address():
    # Guards against an ident that stays at its first address for ever.
    moved = {**ITEM, 'address': OTHER_ADDRESS}
    pages = [
        json.dumps({'instances': items, 'next': None}).encode()
        for items in ([ITEM], [moved])
    ]
    backend_list = _backendlist.PlatformBackendList(
        decoding.PageSession(pages), '10.0.0.1:1', node.NullMetrics()
    )
    await backend_list.fetch()
    listed = await backend_list.fetch()
    assert [item.address for item in listed] == [OTHER_ADDRESS]


@pytest.mark.parametrize('name', ['id', 'service', 'zone', 'config-version'])
async def test_a_text_of_any_length_is_no_name(name):
    # Guards against log lines and messages as long as an odd item.
    assert await fetch({**ITEM, name: 'x' * 256}) == []
    assert await fetch({**ITEM, name: 'x' * 255})


# Lists that break off

CUT_PAGES = [
    b'{"instances":[%b],"next":null}',
    b'{"next":null,"instances":[%b]}',
    b'{"next":"p-2","instances":[%b]}',
    b' {"next":"p-2" , "instances" : [%b] }\n',
]


@pytest.mark.parametrize('form', CUT_PAGES)
def test_a_page_that_breaks_off_is_no_page(form):
    # Guards against servers that seem to be gone from the list.
    items = [{**ITEM, 'id': f'i{n}'} for n in range(4)]
    page = form % json.dumps(items)[1:-1].encode()
    assert len(_listpage.decode_page(page).items) == 4
    for cut in range(len(page.rstrip())):
        with pytest.raises(ValueError):
            _listpage.decode_page(page[:cut])


@pytest.mark.parametrize('form', CUT_PAGES)
def test_an_odd_item_of_any_page_hides_no_others(form):
    # Guards against a page that is taken for one that broke off.
    items = [json.dumps({**ITEM, 'id': f'i{n}'}) for n in range(4)]
    items.insert(2, '{"id": [')
    page = form % ','.join(items).encode()
    assert len(_listpage.decode_page(page).items) == 4
