"""Services whose servers fail if they have to reject many requests."""

import attrs


@attrs.define
class _Statement:
    """The newest statement of a service's servers.

    :param rejections_per_s: what a server bears.
    :param as_of: when it was in force.
    """

    rejections_per_s: float
    as_of: float


class BrittleServices:
    """The services whose servers call themselves brittle.

    All servers of a service say the same, so that the statement of one holds
    for those that haven't answered yet.
    """

    def __init__(self) -> None:
        self.statements: dict[str, _Statement] = {}

    def __contains__(self, service: str) -> bool:
        return service in self.statements

    def record(
        self, service: str, rejections_per_s: float | None, as_of: float
    ) -> bool:
        """Record a response; return whether the service's state changed.

        :param rejections_per_s: ``None`` if the response names none.
        :param as_of: when that was known to be the case; older statements
            than the newest one are ignored.
        """
        newest = self.statements.get(service)
        if newest is not None and as_of <= newest.as_of:
            return False
        if rejections_per_s is None:
            return self.statements.pop(service, None) is not None
        self.statements[service] = _Statement(rejections_per_s, as_of)
        return newest is None
