"""Tests with real processes and servers that send without end."""

from tests.platform.soak import endless

SEED = 1


async def test_servers_that_send_without_end_delay_no_other_request(tmp_path):
    # Guards against an entry that stands still parsing what never ends.
    result = await endless.play(SEED, tmp_path / 'logs')
    assert not result.failed, str(result)
