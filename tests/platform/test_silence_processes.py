"""Sound servers that fall silent and go on, with real processes."""

import pytest

from tests.platform.soak import silence

SEED = 37


async def check(folder, variant):
    result = await silence.play_variant(SEED, folder, variant)
    print(result)
    assert result.failed == []


@pytest.mark.parametrize('variant', ['streams', 'all-long-streams'])
async def test_no_stream_is_lost_as_all_engines_fall_silent(tmp_path, variant):
    """Guards against streams that end as silence is taken for crashes."""
    await check(tmp_path, variant)


async def test_no_long_stream_is_lost_as_engines_fall_silent_in_turn(tmp_path):
    """Guards against streams that use up their attempts on silent engines."""
    await check(tmp_path, 'long-streams')


async def test_no_request_is_lost_in_silences_beside_changes(tmp_path):
    """Guards against requests lost as servers are silent and maps change."""
    await check(tmp_path, 'all-kinds-maps')


async def test_output_goes_on_if_an_engine_is_lost_among_silent_ones(tmp_path):
    """Guards against engines that are really gone but waited for."""
    await check(tmp_path, 'dead')
