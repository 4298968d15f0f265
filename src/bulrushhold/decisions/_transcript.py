"""Transcript of one answer, extended by one of several attempts."""

import enum

import attrs


class AcceptResult(enum.StrEnum):
    """Result of offering a token or end mark to a transcript."""

    ACCEPTED = 'accepted'
    DUPLICATE = 'repeated'
    MISSING = 'missing'
    STALE = 'stale'
    WRONG_REQUEST = 'crossed'


@attrs.define
class Transcript:
    """Tokens of one answer and the attempts that may extend it.

    Each attempt starts from the tokens present at that time. The attempt
    that delivers the next token first becomes the only active one, so that
    the texts of different attempts never mix.

    :param request: request id that every engine reply must carry.
    :param version: version of the model that produced the tokens.
    :param finish: finish reason, or ``''`` while the answer is incomplete.
    :param active_attempts: model version by attempt number.
    """

    request: str
    tokens: list[str] = attrs.field(factory=list)
    version: str = ''
    finish: str = ''
    active_attempts: dict[int, str] = attrs.field(factory=dict)
    last_attempt: int = 0

    def start_attempt(self, version: str) -> int:
        """Register a new active attempt and return its number."""
        self.last_attempt += 1
        self.active_attempts[self.last_attempt] = version
        return self.last_attempt

    def end_attempt(self, attempt: int) -> None:
        """Ignore an attempt from now on."""
        self.active_attempts.pop(attempt, None)

    def accept(
        self, request: str, attempt: int, offset: int, text: str, finish: str
    ) -> AcceptResult:
        """Append a token or end mark if it is the expected next one.

        :param finish: ``''`` for a token, otherwise the finish reason.
        """
        result = self._classify(request, attempt, offset)
        if result is not AcceptResult.ACCEPTED:
            return result
        if len(self.active_attempts) > 1:
            self.active_attempts = {attempt: self.active_attempts[attempt]}
        self.version = self.active_attempts[attempt]
        if finish:
            self.finish = finish
        else:
            self.tokens.append(text)
        return result

    def _classify(
        self, request: str, attempt: int, offset: int
    ) -> AcceptResult:
        if request != self.request:
            return AcceptResult.WRONG_REQUEST
        if attempt not in self.active_attempts or self.finish:
            return AcceptResult.STALE
        if offset < len(self.tokens):
            return AcceptResult.DUPLICATE
        if offset > len(self.tokens):
            return AcceptResult.MISSING
        return AcceptResult.ACCEPTED
