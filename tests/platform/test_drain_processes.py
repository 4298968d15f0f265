"""Entries that shut down under load, with real processes."""

import pytest

from tests.platform.soak import drains

SEED = 74
SECONDS = 12.0


@pytest.mark.parametrize('overlapping', [False, True])
async def test_no_request_is_lost_as_entries_shut_down(tmp_path, overlapping):
    """Guards against streams that are accepted but outlast their entry."""
    plan = drains.DrainPlan(
        lengths='skewed', overlapping=overlapping, seconds=SECONDS
    )
    result = await drains.play(SEED, tmp_path, plan)
    print(result)
    assert result.failed == []
