"""The retry budget of all entries, with real processes."""

from tests.platform.soak import retries

SEED = 1


async def test_restarted_processes_do_not_spend_the_retry_budget_again(
    tmp_path,
):
    # Guards against retries beyond the budget as entries and homes restart.
    result = await retries.play(
        SEED, tmp_path, retries.VARIANTS['restarts'], entries=6, seconds=14.0
    )
    print(result)
    assert result.failed == []
