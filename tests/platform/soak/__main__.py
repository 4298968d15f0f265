"""Command line: ``python -m tests.platform.soak --seeds 1-50``."""

import asyncio
import pathlib
import sys
import tempfile

import click

from tests.platform.soak import contended
from tests.platform.soak import largemaps
from tests.platform.soak import system


@click.command()
@click.option('--seeds', default='1-10', help='FIRST-LAST, or one seed.')
@click.option(
    '--seconds', default=8.0, help='Duration of the faults in each run.'
)
@click.option('--keep', default='', help='Parent folder of the logs.')
@click.option(
    '--large-maps', is_flag=True, help='27,000 accounts and 1,400 routes.'
)
def main(seeds: str, seconds: float, keep: str, large_maps: bool) -> None:
    """Run the soak test for each seed and print the violated guarantees."""
    first, _, last = seeds.partition('-')
    failed = []
    for seed in range(int(first), int(last or first) + 1):
        log_folder = tempfile.mkdtemp(prefix=f'soak-{seed}-', dir=keep or None)
        with system.LoopbackNetwork() as network:
            arguments = (seed, log_folder, network.number, seconds)
            if large_maps:
                soak = largemaps.LargeMapSoakRun(
                    *arguments, accounts=27_000, routes=1_400
                )
            else:
                soak = contended.ContendedSoakRun(*arguments)
            report = asyncio.run(soak.execute())
        click.echo(
            f'seed {seed}: {report.served} of {report.sent} served, '
            f'{len(report.faults)} faults, '
            f'{len(report.violations)} violations, '
            f'poison crashes {sorted(report.poison_crashes.values())}'
        )
        for line in report.violations[:10]:
            click.echo(f'    {line}')
        if report.violations:
            failed.append(seed)
            click.echo(f'    faults: {", ".join(report.faults)}')
            click.echo(f'    logs: {pathlib.Path(log_folder)}')
    click.echo(f'failed seeds: {failed or "none"}')
    sys.exit(bool(failed))


if __name__ == '__main__':
    main()
