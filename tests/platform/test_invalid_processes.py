"""Tests with real processes and servers whose answers are no valid HTTP."""

from tests.platform.soak import invalid

SEED = 1


async def test_invalid_answers_of_servers_reach_no_caller(tmp_path):
    # Guards against bytes that are no answer, and requests that get none.
    result = await invalid.play(SEED, tmp_path / 'logs')
    assert not result.failed, str(result)
