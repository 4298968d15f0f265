"""The result of a load scenario."""

import json

import attrs

from tests.platform.soak import figures
from tests.platform.soak import loadrun
from tests.platform.soak import system


@attrs.frozen
class Result:
    """The figures of a scenario, and more lines that explain them."""

    checks: list
    lines: list = attrs.field(factory=list)

    @property
    def failed(self):
        return [str(check) for check in self.checks if not check.passed]

    def __str__(self):
        return '\n'.join([*map(str, self.checks), *self.lines])


def truth_checks(load_run):
    """Return the checks that hold under any load and fault."""
    broken = sum(o.broken for o in load_run.outcomes)
    return [
        figures.Check(
            'violated guarantees',
            len(load_run.report.violations),
            0,
            at_least=False,
        ),
        figures.Check('streams broken', broken, 0, at_least=False),
        figures.Check(
            'engines out of memory',
            load_run.memory_crashes,
            0,
            at_least=False,
        ),
    ]


def lines(load_run):
    """Return what callers and engines got."""
    return [
        *figures.describe(load_run.counted),
        f'peak memory {max(e.peak_memory for e in load_run.serial_engines)}, '
        f'tokens in vain {load_run.tokens_in_vain:.0f}, '
        f'p95 lag {figures.percentile(load_run.lags):.3f} s',
        *load_run.report.faults,
        *load_run.report.violations[:10],
    ]


async def play(seed, folder, plan):
    """Return the run of a plan, with its logs and outcomes in a folder."""
    folder.mkdir(exist_ok=True)
    with system.LoopbackNetwork() as network:
        load_run = loadrun.LoadRun(seed, folder, network.number, plan)
        await load_run.execute()
    outcomes = [attrs.asdict(outcome) for outcome in load_run.outcomes]
    (folder / 'outcomes.json').write_text(json.dumps(outcomes))
    return load_run
