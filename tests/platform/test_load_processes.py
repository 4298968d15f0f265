"""More load than servers and entries can bear, with real processes."""

import pytest

from tests.platform.soak import scenarios

SEED = 1


async def check(play, folder, **options):
    result = await play(SEED, folder, **options)
    print(result)
    assert result.failed == []


async def test_urgent_streams_are_on_time_under_twice_the_load(tmp_path):
    # Guards against an overload that hits callers regardless of priority.
    await check(scenarios.play_overload, tmp_path)


async def test_a_large_account_leaves_the_others_their_share(tmp_path):
    # Guards against accounts that get capacity by the number of requests.
    await check(scenarios.play_large_account, tmp_path)


async def test_slow_readers_do_not_fill_the_memory_of_entries(tmp_path):
    # Guards against buffers that grow with the number of slow readers.
    await check(scenarios.play_slow_readers, tmp_path)


@pytest.mark.parametrize('fault', ['pause_control'])
async def test_streams_end_whole_or_refused_while_processes_fail(
    tmp_path, fault
):
    # Guards against streams that are lost with their scheduling home.
    await check(scenarios.play_fault, tmp_path, fault=fault)
