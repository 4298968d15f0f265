"""Load scenarios and their bounds, see ``docs/design/load.md``.

``python -m tests.platform.soak.scenarios overload --seeds 1-3 --entries 9``
plays one by hand; figures are printed with their bounds.
"""

import asyncio
import functools
import pathlib
import sys
import tempfile

import click

from tests.platform.soak import drainplan
from tests.platform.soak import drains
from tests.platform.soak import endless
from tests.platform.soak import figures
from tests.platform.soak import invalid
from tests.platform.soak import keptconnections
from tests.platform.soak import loadrun
from tests.platform.soak import oddlists
from tests.platform.soak import result
from tests.platform.soak import retries
from tests.platform.soak import silence
from tests.platform.soak import slowreaders
from tests.platform.soak import system
from tests.platform.soak import uneven

SMALL_ACCOUNTS = 9
LARGE_ACCOUNT = 'large'
SLOW_READERS_S = 8.0
FAULTS = (
    'kill_control',
    'pause_control',
    'no_control',
    'kill_entry',
    'lose_engine',
)


async def play_overload(seed, folder, entries=6, seconds=18.0, load=2.0):
    """Callers of three priorities send more than engines can read."""
    plan = loadrun.LoadPlan(load=load, seconds=seconds, entries=entries)
    load_run = await result.play(seed, folder, plan)
    outcomes = load_run.counted
    least_urgent = figures.of_priority(outcomes, 2)
    checks = [
        figures.Check(
            'most urgent on time',
            figures.on_time_share(figures.of_priority(outcomes, 0)),
            0.95,
        ),
        figures.Check(
            'all on time',
            figures.on_time_share(outcomes),
            0.9 * min(1.0, 1 / load),
        ),
        figures.Check(
            'least urgent served', sum(o.whole for o in least_urgent), 1
        ),
        *figures.check_order(outcomes),
        *figures.check_refusals(outcomes),
        *result.truth_checks(load_run),
    ]
    return result.Result(checks, result.lines(load_run))


async def play_large_account(seed, folder, entries=6, seconds=18.0, load=1.5):
    """One of ten accounts sends six in ten of all requests.

    All requests have one priority: the shares of accounts are those within
    a priority.
    """
    small = 0.4 / SMALL_ACCOUNTS
    accounts = {f'small-{n}': small for n in range(SMALL_ACCOUNTS)}
    plan = loadrun.LoadPlan(
        load=load,
        seconds=seconds,
        entries=entries,
        priorities={1: 1.0},
        accounts={LARGE_ACCOUNT: 0.6, **accounts},
    )
    load_run = await result.play(seed, folder, plan)
    by_account = {
        name: [o for o in load_run.counted if o.arrival.account == name]
        for name in plan.accounts
    }
    large = by_account.pop(LARGE_ACCOUNT)
    others = [o for outcomes in by_account.values() for o in outcomes]
    checks = [
        figures.Check(
            'small accounts on time', figures.on_time_share(others), 0.95
        ),
        figures.Check(
            'all on time',
            figures.on_time_share(load_run.counted),
            0.9 * min(1.0, 1 / load),
        ),
        *figures.check_refusals(load_run.counted),
        *result.truth_checks(load_run),
    ]
    shares = ', '.join(
        f'{name} {figures.on_time_share(outcomes):.2f} of {len(outcomes)}'
        for name, outcomes in {LARGE_ACCOUNT: large, **by_account}.items()
    )
    return result.Result(
        checks, [*result.lines(load_run), f'on time: {shares}']
    )


async def play_fault(seed, folder, fault, entries=6, seconds=18.0, load=2.0):
    """The overload, while a process or an engine fails."""
    plan = loadrun.LoadPlan(
        load=load, seconds=seconds, entries=entries, fault=fault
    )
    load_run = await result.play(seed, folder, plan)
    checks = [
        *figures.check_order(load_run.counted),
        *figures.check_refusals(
            load_run.counted, capacity_lost=fault == 'lose_engine'
        ),
        *result.truth_checks(load_run),
    ]
    return result.Result(checks, result.lines(load_run))


async def play_slow_readers(seed, folder, entries=6, seconds=SLOW_READERS_S):
    """Two hundred callers at each entry hardly read their responses."""
    with system.LoopbackNetwork() as network:
        readers_run = slowreaders.SlowReadersRun(
            seed, folder, network.number, seconds, entries
        )
        await readers_run.execute()
    violations = readers_run.report.violations
    unread = sum(server.unread for server in readers_run.file_servers)
    checks = [
        *readers_run.checks(),
        figures.Check(
            'violated guarantees', len(violations), 0, at_least=False
        ),
    ]
    lines = [
        f'memory at the start {readers_run.start_mb:.0f} MB, '
        f'readers stopped: {readers_run.stopped}, '
        f'unread and aborted: {unread}, '
        f'p95 lag {figures.percentile(readers_run.lags):.3f} s',
        *violations[:10],
    ]
    return result.Result(checks, lines)


def _fault_scenario(fault):
    return functools.partial(play_fault, fault=fault)


def _retry_scenario(variant):
    return functools.partial(retries.play, variant=variant)


SCENARIOS = {
    'overload': play_overload,
    'large-account': play_large_account,
    'slow-readers': play_slow_readers,
    'endless-bytes': endless.play,
    'invalid-answers': invalid.play,
    'kept-connections': keptconnections.play,
    'uneven-engines': uneven.play_engines,
    'uneven-servers': uneven.play_servers,
    **{fault.replace('_', '-'): _fault_scenario(fault) for fault in FAULTS},
    **{
        f'silent-{name}': functools.partial(silence.play_variant, variant=name)
        for name in silence.VARIANTS
    },
    **{
        f'drains-{name}': functools.partial(drains.play_variant, variant=name)
        for name in (*drainplan.VARIANTS, 'random')
    },
    **{
        f'odd-list-{name}': functools.partial(
            oddlists.play_variant, variant=name
        )
        for name in oddlists.VARIANTS
    },
    **{
        f'retries-{name}': _retry_scenario(variant)
        for name, variant in retries.VARIANTS.items()
    },
}


@click.command()
@click.argument('name', type=click.Choice(list(SCENARIOS)))
@click.option('--seeds', default='1', help='FIRST-LAST, or one seed.')
@click.option('--entries', default=6)
@click.option('--seconds', default=18.0, help='Duration of the load.')
@click.option('--load', default=0.0, help='0 for that of the scenario.')
@click.option('--grace', default=0.0, help='Seconds from SIGTERM to SIGKILL.')
@click.option('--keep', default='', help='Parent folder of the logs.')
def main(
    name: str,
    seeds: str,
    entries: int,
    seconds: float,
    load: float,
    grace: float,
    keep: str,
) -> None:
    """Play a load scenario for each seed and print its figures."""
    first, _, last = seeds.partition('-')
    options = {'entries': entries, 'seconds': seconds}
    if load:
        options['load'] = load
    if grace:
        options['grace_s'] = grace
    failed = []
    for seed in range(int(first), int(last or first) + 1):
        folder = pathlib.Path(
            tempfile.mkdtemp(prefix=f'{name}-{seed}-', dir=keep or None)
        )
        played = asyncio.run(SCENARIOS[name](seed, folder, **options))
        click.echo(f'{name}, seed {seed}, logs {folder}')
        click.echo(str(played))
        if played.failed:
            failed.append(seed)
    click.echo(f'failed seeds: {failed or "none"}')
    sys.exit(bool(failed))


if __name__ == '__main__':
    main()
