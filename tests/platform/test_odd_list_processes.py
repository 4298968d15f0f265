"""Odd items of the platform's list, with real processes."""

import pytest

from tests.platform.soak import oddlists


@pytest.mark.parametrize('seed', [4, 5])
async def test_odd_items_of_the_list_cost_no_request(tmp_path, seed):
    """Guards against 500 and 503 as another system writes to the list."""
    result = await oddlists.play_variant(seed, tmp_path, 'all')
    print(result)
    assert result.failed == []
