"""What servers say of themselves, as the adapter decodes it."""

import email.utils
import time

import multidict
import pytest

from adapter import _enginedialect
from bulrushhold import calls
from tests.platform import decoding


@pytest.mark.parametrize(
    ('values', 'per_s'),
    [
        (['2.6'], 2.6),
        (['0'], 0.0),
        (['1e9'], 1e9),
        (['5', '2.5'], 2.5),
        (['-1'], None),
        (['nan'], None),
        (['inf'], None),
        ([''], None),
        (['many'], None),
        (['5', 'many'], None),
    ],
)
def test_a_request_limit_is_decoded_or_marked_as_malformed(values, per_s):
    headers = multidict.CIMultiDict(('Server-Limit', v) for v in values)
    head = _enginedialect.PlatformEngineDialect().decode_head(
        decoding.decode_call(), 200, headers
    )
    assert head.limit == calls.RequestLimit(per_s)


def test_a_response_without_a_request_limit_names_none():
    assert decoding.decode_head().limit is None


@pytest.mark.parametrize(
    ('value', 'seconds'),
    [
        ('3', 3.0),
        ('2.5', 2.5),
        ('0', 0.0),
        ('3600', 3600.0),
        ('1e9', 1e9),
        ('-1', None),
        ('nan', None),
        ('inf', None),
        ('', None),
        ('later', None),
        ('Thu, 01 Jan 1970 00:00:00 GMT', 0.0),
        ('Thu, 99 Jan 1970 00:00:00 GMT', None),
    ],
)
def test_a_demand_to_back_off_is_decoded_or_marked_as_malformed(
    value, seconds
):
    head = decoding.decode_head(503, **{'Retry-After': value})
    assert head.backoff == calls.Backoff(seconds)


def test_a_demand_to_back_off_may_be_a_date():
    date = email.utils.formatdate(time.time() + 30, usegmt=True)
    head = decoding.decode_head(503, **{'Retry-After': date})
    assert 28 < head.backoff.seconds <= 30


def test_only_a_503_demands_to_back_off():
    assert decoding.decode_head(503).backoff is None
    assert decoding.decode_head(429, **{'Retry-After': '3'}).backoff is None


@pytest.mark.parametrize(
    ('value', 'leaving'),
    [
        ('1', True),
        ('true', True),
        ('0', False),
        ('', False),
        ('soon', False),
    ],
)
def test_a_server_that_is_shutting_down_says_so(value, leaving):
    assert decoding.decode_head(**{'Server-Leaving': value}).leaving is leaving
    assert not decoding.decode_head().leaving


def test_a_probe_names_the_instance_that_it_expects():
    dialect = _enginedialect.PlatformEngineDialect()
    assert dialect.probe_headers('i-1') == [
        ('Bulrushhold-Expect-Instance', 'i-1')
    ]
    assert dialect.probe_headers('') == []
    headers = multidict.CIMultiDict({'Bulrushhold-Instance-Id': 'i-2'})
    assert dialect.decode_instance(headers) == 'i-2'
    assert dialect.decode_instance(multidict.CIMultiDict()) == ''


@pytest.mark.parametrize(
    ('value', 'rejections_per_s'),
    [('4', 4.0), ('0', 0.0), ('2.5', 2.5), ('-1', None), ('few', None)],
)
def test_brittleness_is_decoded_or_marked_as_malformed(
    value, rejections_per_s
):
    headers = multidict.CIMultiDict({'Server-Brittle': value})
    head = _enginedialect.PlatformEngineDialect().decode_head(
        decoding.decode_call(), 200, headers
    )
    assert head.brittleness == calls.Brittleness(rejections_per_s)


def test_a_response_without_brittleness_is_of_a_robust_server():
    assert decoding.decode_head().brittleness is None


@pytest.mark.parametrize(
    ('value', 'pace'),
    [
        ('3,1,8', None),
        ('3,1,8,100', 1.0),
        ('3, 1, 8, 250', 2.5),
        ('3,1,8,87.5,x,9', 0.875),
    ],
)
def test_a_load_is_decoded_whatever_fields_follow_it(value, pace):
    # Guards against a load that is lost as its header has a pace.
    head = decoding.decode_head(**{'Bulrushhold-Instance-Load': value})
    assert head.load == calls.BackendLoad(3, 1, 8, pace)
    assert not head.load_malformed


@pytest.mark.parametrize(
    'value',
    [
        '',
        'x',
        '3,1',
        '3,1,8,',
        '3,1,8,fast',
        '3,1,8,nan',
        '3,1,8,inf',
        '3,1,8,-100',
        '3,1,8,0',
        '3,1,8,1e9',
        '-3,1,8,100',
        '3,1,99999999999',
        '3,1,' + '9' * 5000,
    ],
)
def test_a_malformed_load_is_marked_as_such(value):
    # Guards against figures that would keep all requests from a server.
    head = decoding.decode_head(**{'Bulrushhold-Instance-Load': value})
    assert head.load is None
    assert head.load_malformed
    assert not decoding.decode_head().load_malformed
