"""Who waits for the core's answer: callers, operators with a change, those who look one up."""

from collections.abc import Callable

from dewledge.core.proxy.calls import CallerAnswer
from dewledge.core.proxy.configuration.store import ChangeLookedUp, ProposalFinished
from dewledge.core.proxy.effects import AnswerCaller


class WaitingCallers:
    """Callbacks by request id or change id; each is called once."""

    def __init__(self) -> None:
        self._callers: dict[int, Callable[[CallerAnswer], None]] = {}
        self._proposers: dict[str, list[Callable[[ProposalFinished], None]]] = {}
        self._askers: dict[str, list[Callable[[ChangeLookedUp], None]]] = {}

    def for_answer(self, request_id: int, on_answer: Callable[[CallerAnswer], None]) -> None:
        """Has a caller's request wait for its answer."""
        self._callers[request_id] = on_answer

    def for_proposal(self, change_id: str, on_finished: Callable[[ProposalFinished], None]) -> None:
        """Has a proposed change wait for its end."""
        self._proposers.setdefault(change_id, []).append(on_finished)

    def for_lookup(self, change_id: str, on_answer: Callable[[ChangeLookedUp], None]) -> None:
        """Has a question for a change wait for its answer."""
        self._askers.setdefault(change_id, []).append(on_answer)

    def forget(self, request_id: int) -> bool:
        """Drops a request whose caller is gone; False if it was answered."""
        return self._callers.pop(request_id, None) is not None

    def answer(self, effect: AnswerCaller) -> None:
        """Answers a caller that still waits."""
        on_answer = self._callers.pop(effect.request_id, None)
        if on_answer is not None:
            on_answer(effect.answer)

    def finish_proposal(self, effect: ProposalFinished) -> None:
        """Tells all who proposed the change."""
        for on_finished in self._proposers.pop(effect.change_id, ()):
            on_finished(effect)

    def answer_lookup(self, effect: ChangeLookedUp) -> None:
        """Tells all who asked for the change."""
        for on_answer in self._askers.pop(effect.change_id, ()):
            on_answer(effect)
