"""Engines whose failure has a body that doesn't end."""

import asyncio

import pytest

from bulrushhold import errors
from tests.forwarding import fakes

NEVER_ENDS = {'then': 'silent'}
# Far less than the stand-in's silence, and more than a busy machine's pause.
SOON_S = 10.0


async def test_a_stream_leaves_an_engine_whose_failure_does_not_end(
    client, context
):
    # Guards against streams without an answer until their callers leave.
    client.scripts = [
        fakes.Script(status=500, **NEVER_ENDS),
        fakes.Script(events=(1, 2, 3)),
    ]
    async with asyncio.timeout(SOON_S):
        caller, reply = await fakes.run_stream(context)
    assert reply is None
    assert caller.ended and caller.data == fakes.encode_events(1, 2, 3)
    assert ('close', client.attempts[0].address) in client.log


@pytest.mark.parametrize('status', [400, 500])
async def test_an_answer_that_does_not_end_fails_at_the_deadline(
    client, context, status
):
    client.scripts = [fakes.Script(status=status, **NEVER_ENDS)] * 9
    async with asyncio.timeout(SOON_S):
        with pytest.raises(errors.RequestError) as caught:
            await fakes.run_stream(context, timeout_s=1.0)
    assert caught.value.status in (502, 504)
