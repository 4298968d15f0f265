"""Invalid requests are rejected with a clear error before anything runs."""

import json
import uuid

import pytest

BODY = {'model': 'small', 'messages': [{'role': 'user', 'content': 'hi'}]}
VENDORS = {'Bulrushhold_Account': 'vendors'}

INVALID = [
    (b'{', VENDORS, 400, 'truncated'),
    (b'[]', VENDORS, 400, 'Expected `object`'),
    ({**BODY, 'messages': []}, VENDORS, 400, "'messages'"),
    ({'messages': BODY['messages']}, VENDORS, 400, '`model`'),
    ({**BODY, 'max_tokens': 0}, VENDORS, 400, "'max_tokens' must be >= 1"),
    ({**BODY, 'max_tokens': 'x'}, VENDORS, 400, '$.max_tokens'),
    ({**BODY, 'model': 'none'}, VENDORS, 404, "unknown model 'none'"),
    (BODY, {}, 401, 'Bulrushhold-Account is missing'),
    (BODY, {'Bulrushhold_Account': 'x'}, 403, "unknown account 'x'"),
    (BODY, {**VENDORS, 'Bulrushhold_Work': 'w'}, 403, "no row for work 'w'"),
    (BODY, {**VENDORS, 'Last_Event_ID': '-1'}, 400, 'token offset'),
    (BODY, {**VENDORS, 'Idempotency_Key': 'k' * 129}, 400, '128 at most'),
    (b'x' * (1 << 20) + b'x', VENDORS, 413, 'exceeds 1048576 bytes'),
]


@pytest.mark.parametrize(('body', 'headers', 'status', 'reason'), INVALID)
async def test_a_bad_request_gets_one_clear_error(
    system, body, headers, status, reason
):
    data = body if isinstance(body, bytes) else json.dumps(body)
    actual_status, _, answer = await system.post(
        '/v1/chat/completions', data, **headers
    )
    assert actual_status == status
    assert reason in answer['error']['reason']
    assert answer['error']['ran'] == 'no'
    assert answer['error']['step']
    assert sum(e.requests for e in system.engines.values()) == 0


@pytest.mark.parametrize(
    ('path', 'headers', 'status', 'reason'),
    [
        ('booking/slots', VENDORS, 400, 'Idempotency-Key is needed'),
        (
            'booking/slots',
            {**VENDORS, 'Idempotency_Key': 'abc'},
            400,
            'must be a UUIDv7',
        ),
        ('nothing/x', VENDORS, 403, "no row for work 'nothing/x'"),
    ],
)
async def test_a_bad_call_isnt_run(system, path, headers, status, reason):
    actual_status, _, answer = await system.post(
        f'/v1/services/{path}', b'{"slot": "a"}', **headers
    )
    assert actual_status == status
    assert reason in answer['error']['reason']
    assert not system.booking.booking_counts


async def test_a_key_dated_in_the_future_is_refused(system):
    key = uuid.UUID(int=(4_102_444_800_000 << 80) | (7 << 76) | (2 << 62))
    actual_status, _, answer = await system.post(
        '/v1/services/booking/slots',
        b'{"slot": "a"}',
        **VENDORS,
        Idempotency_Key=str(key),
    )
    assert (actual_status, answer['error']['ran']) == (400, 'no')
    assert not system.booking.booking_counts


async def test_an_unknown_path_gets_a_json_error(system):
    status, _, answer = await system.post('/v1/nothing', b'')
    assert (status, answer['error']['ran']) == (404, 'no')


async def test_a_complete_answer_has_its_key_and_token_count(system):
    status, headers, answer = await system.post(
        '/v1/chat/completions',
        json.dumps({**BODY, 'max_tokens': 5}),
        **VENDORS,
    )
    assert status == 200
    assert answer['usage'] == {'completion_tokens': 5}
    assert answer['id'] == headers['Idempotency-Key']
