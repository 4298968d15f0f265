"""Entries that shut down under load, with real processes."""

from tests.platform.soak import drainplan
from tests.platform.soak import drains

SEED = 74


async def play(folder, **options):
    result = await drains.play(SEED, folder, drainplan.DrainPlan(**options))
    print(result)
    return result


async def test_no_request_is_lost_as_an_entry_shuts_down(tmp_path):
    """Guards against streams that are accepted but outlast their entry."""
    result = await play(
        tmp_path, lengths='growing', grow_after_s=4.0, seconds=12.0
    )
    assert result.failed == []


async def test_no_request_is_lost_as_several_entries_shut_down(tmp_path):
    """Guards against requests that are cut or refused though they ran."""
    result = await play(
        tmp_path, lengths='skewed', overlapping=True, seconds=11.0
    )
    # One retry meets another entry that leaves.
    truths = ('lost', 'refused but run', 'violated guarantees')
    assert [
        c for c in result.checks if c.name in truths and not c.passed
    ] == []
