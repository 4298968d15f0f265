"""Crashes of engines under requests, for tests of their detection."""

import random

from bulrushhold import decisions
from bulrushhold import messages

SERVICE = 'engines'


class FixedRandom(random.Random):
    """Lets blocks end at all entries at once."""

    def random(self):
        return 0.0


def make_detector(nearby_losses=1):
    """Return a detector; other engines are lost together with each engine."""
    detector = decisions.PoisonRequestDetector(
        decisions.EngineLosses(), FixedRandom()
    )
    detector.nearby_losses = nearby_losses
    return detector


def lose(detector, engine, at, data_centre=''):
    location = (SERVICE, data_centre or f'dc-{engine}')
    detector.losses.record(engine, location, at)
    for number in range(1, getattr(detector, 'nearby_losses', 1)):
        detector.losses.record(f'{engine}-{number}', location, at)


def add_crashes(detector, fingerprint, engines):
    for number, engine in enumerate(engines):
        at = 7.0 + number
        lose(detector, engine, at)
        detector.record_crash(fingerprint, engine, at, 0.1)


def lose_together(detector, engines, at, data_centre='dc0'):
    for engine in engines:
        detector.losses.record(engine, (SERVICE, data_centre), at)


def make_placement():
    """Return four servers in two data centres."""
    placement = decisions.Placement(None)
    placement.update(
        [
            messages.ListedBackend(f'i{n}', 's', f'10.0.0.{n}:1', dc, 8)
            for n, dc in enumerate(['dc0', 'dc0', 'dc0', 'dc1'])
        ]
    )
    return placement


def block_request(detector, at=7.0):
    for number in range(3):
        lose(detector, f'i{number}', at)
        detector.record_crash('bad', f'i{number}', at, 0.1)


def crash_again(detector, at):
    lose(detector, f'i-{at}', at)
    detector.record_crash('bad', f'i-{at}', at, 0.1)
