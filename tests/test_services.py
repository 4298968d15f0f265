"""Calls of plain services: idempotent ones, and ones run at most once."""

import asyncio
import uuid

import pytest
import uuid_utils

from bulrushhold import errors
from bulrushhold import messages
from tests import conftest


def make_key():
    return str(uuid_utils.uuid7())


async def book(system, slot='oven-1', **options):
    return await system.client().call(
        'booking', 'slots', method='POST', body={'slot': slot}, **options
    )


async def test_a_resent_booking_gets_the_first_outcome(system):
    key = make_key()
    first = await book(system, key=key)
    second = await book(system, key=key)
    assert first == second
    assert system.booking.booking_counts == {'oven-1': 1}


async def test_a_booking_whose_answer_was_lost_isnt_run_again(system):
    # The connection breaks after the booking; a second try would book twice.
    system.booking.drop_response = True
    key = make_key()
    for _ in range(2):
        with pytest.raises(errors.RequestError) as caught:
            await book(system, key=key)
        assert caught.value.ran is errors.Ran.UNKNOWN
        system.booking.drop_response = False
    assert system.booking.booking_counts == {'oven-1': 1}


async def test_an_answer_for_another_request_is_rejected(system):
    # The answer has another request's id.
    system.booking.wrong_request_id = True
    with pytest.raises(errors.RequestError) as caught:
        await book(system)
    assert caught.value.ran is errors.Ran.UNKNOWN


async def test_a_call_reported_as_not_run_cannot_run_later(system):
    # The claim must be closed before the reply, or a retry with the same key
    # could make a call that was reported as not run.
    port = system.booking.port
    await system.booking.stop()
    key = make_key()
    caller = system.client(deadline_s=0)
    with pytest.raises(errors.RequestError) as caught:
        await caller.call(
            'booking', 'slots', method='POST', body={'slot': 'a'}, key=key
        )
    assert caught.value.ran is errors.Ran.NO
    system.booking.port = port
    await system.booking.start()
    with pytest.raises(errors.RequestError, match='use a new key'):
        await book(system, 'a', key=key)
    assert not system.booking.booking_counts


async def test_a_key_used_for_another_booking_is_refused(system):
    key = make_key()
    await book(system, 'oven-1', key=key)
    with pytest.raises(errors.RequestError) as caught:
        await book(system, 'oven-2', key=key)
    assert caught.value.status == 422
    assert system.booking.booking_counts == {'oven-1': 1}


async def test_a_key_older_than_the_watermark_is_refused(system):
    old = uuid.UUID(int=(1_000_000 << 80) | (7 << 76) | (2 << 62))
    system.control.state.claims.advance_watermark(2_000.0)
    with pytest.raises(errors.RequestError, match='too old'):
        await book(system, key=str(old))
    assert not system.booking.booking_counts


async def test_an_idempotent_call_returns_the_response(system):
    answer = await system.client().call('booking', 'availability')
    assert b'oven-1' in answer.body


async def test_without_control_a_booking_isnt_run(system):
    # Without a majority no claim is committed, so the call must not be made.
    await system.stop_control()
    status, _, answer = await system.post(
        '/v1/services/booking/slots',
        b'{"slot": "a"}',
        Bulrushhold_Account='vendors',
        Idempotency_Key=make_key(),
    )
    assert status == 503
    assert answer['error']['step'] == 'claim'
    assert not system.booking.booking_counts


async def test_a_claim_whose_confirmation_was_lost_is_closed(system):
    # Left open, it would make each retry end with an unknown outcome.
    control = system.entries['e1'].control
    propose = control.propose

    async def lose_reply(command, deadline_s):
        result = await propose(command, deadline_s)
        if isinstance(command, messages.Claim):
            control.propose = propose
            raise errors.PeerError('no reply', 'propose')
        return result

    control.propose = lose_reply
    key = make_key()
    status, _, answer = await start_booking(system, key)
    assert (status, answer['error']['ran']) == (503, 'unknown')
    claims = system.control.state.claims.records
    await conftest.wait_until(
        lambda: claims[f'vendors/{key}'].state == 'closed', seconds=5
    )
    error = await resend(system, key)
    assert (error.status, error.ran) == (409, errors.Ran.NO)
    assert not system.booking.booking_counts


def start_booking(system, key):
    """Start a booking through e1 without waiting for the answer."""
    return asyncio.ensure_future(
        system.post(
            '/v1/services/booking/slots',
            b'{"slot": "oven-1"}',
            Bulrushhold_Account='vendors',
            Idempotency_Key=key,
        )
    )


async def resend(system, key):
    """Repeat a booking with the same key through the remaining entries."""
    with pytest.raises(errors.RequestError) as caught:
        await book(system, key=key)
    return caught.value


async def test_a_retry_after_a_lost_entry_gets_an_unknown_outcome(
    make_system,
):
    # A retry finds a claim without an outcome and must not book again.
    system = await make_system(entries=2)
    system.booking.delay_s = 30.0
    key = make_key()
    first = start_booking(system, key)
    await conftest.wait_until(lambda: system.booking.booking_counts)
    await system.kill_entry('e1')
    error = await resend(system, key)
    assert (error.status, error.ran) == (409, errors.Ran.UNKNOWN)
    assert system.booking.booking_counts == {'oven-1': 1}
    await asyncio.gather(first, return_exceptions=True)


async def test_a_claimed_call_is_not_made_by_another_entry(
    make_system,
):
    # The entry is lost after the claim. Others can't know that the call wasn't
    # sent, so they must not make it.
    system = await make_system(entries=2)
    reached = asyncio.Event()

    class HangingService:
        async def call(self, address, call):
            reached.set()
            await asyncio.Event().wait()

    system.entries['e1'].server.services.services = HangingService()
    key = make_key()
    first = start_booking(system, key)
    await reached.wait()
    await system.kill_entry('e1')
    error = await resend(system, key)
    assert error.ran is errors.Ran.UNKNOWN
    assert not system.booking.booking_counts
    await asyncio.gather(first, return_exceptions=True)


async def test_an_answer_does_not_wait_for_recording_its_outcome(
    system,
):
    # Control is lost after the claim, so recording is retried in the
    # background.
    system.booking.delay_s = 0.2
    booking = asyncio.ensure_future(book(system))
    await conftest.wait_until(lambda: system.booking.booking_counts)
    await system.stop_control()
    answer = await booking
    assert answer.status == 200
    assert system.entries['e1'].server.services.recording_tasks
