"""Detection of poison requests: requests that crash engines."""

import collections.abc as cabc
import typing as t

import attrs
import xxhash

CRASHES_TO_QUARANTINE: t.Final = 2
MAX_TRACKED: t.Final = 10_000


def content_fingerprint(content: bytes) -> str:
    """Return a hash of a request's content, independent of its key."""
    return xxhash.xxh3_128_hexdigest(content)


@attrs.define
class EngineCrashTracker:
    """Counts engine crashes per request content.

    Every request that runs on a crashing engine may be a poison request. Such
    requests are retried on separate engines, so that another crash identifies
    the poison request. A crash with several of them identifies none and isn't
    counted.
    """

    crashes: dict[str, int] = attrs.field(factory=dict)

    def may_be_poison(self, fingerprint: str) -> bool:
        """Whether an engine crashed while running this content."""
        return fingerprint in self.crashes

    def add_reported(self, fingerprints: cabc.Iterable[str]) -> None:
        """Add possible poison requests reported by other entries."""
        for fingerprint in fingerprints:
            self.crashes.setdefault(fingerprint, 1)

    def record_engine_crash(self, fingerprints: list[str]) -> list[str]:
        """Record a crash and return the fingerprints to quarantine.

        :param fingerprints: of all requests that ran on the engine.
        """
        crashed_before = {f for f in fingerprints if f in self.crashes}
        quarantined: list[str] = []
        for fingerprint in dict.fromkeys(fingerprints):
            if fingerprint not in crashed_before:
                self.crashes[fingerprint] = 1
            elif len(crashed_before) == 1:
                self.crashes[fingerprint] += 1
                if self.crashes[fingerprint] >= CRASHES_TO_QUARANTINE:
                    quarantined.append(fingerprint)
        while len(self.crashes) > MAX_TRACKED:
            del self.crashes[next(iter(self.crashes))]
        return quarantined

    def clear(self, fingerprint: str) -> None:
        """Remove a fingerprint after its request completed."""
        self.crashes.pop(fingerprint, None)
