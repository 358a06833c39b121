"""What makes two states of a search one: messages that mean nothing any more, syncs that can't be lost."""

from __future__ import annotations

from dataclasses import replace

from mastturn.control_check.inert import is_inert
from mastturn.control_check.local import Processes
from mastturn.control_check.sent import SentMessages, numbers_in
from mastturn.control_check.state import Bounds, State, Values, victims_of


class Reduction:
    """The reduction of one search; without `bounds.reduced` it changes nothing."""

    def __init__(
        self,
        bounds: Bounds,
        values: Values,
        messages: SentMessages,
        processes: Processes,
        ips: tuple[str, ...],
    ) -> None:
        self._bounds, self._values, self._messages = bounds, values, messages
        self._processes, self._ips = processes, ips
        self._victims = victims_of(bounds)
        self._known: dict[tuple[int, int, int, bool], bool] = {}

    def without_inert(self, state: State) -> State:
        """The same without messages that can mean nothing any more."""
        if not self._bounds.reduced:
            return state
        kept = sum(1 << number for number in numbers_in(state.sent) if not self._is_inert(state, number))
        return state if kept == state.sent else replace(state, sent=kept)

    def is_late(self, state: State, index: int) -> bool:
        """Whether the next sync of a process can neither be lost nor tell anything to itself."""
        if not self._bounds.reduced or self._may_crash(state, index):
            return False
        _, sends = self._values[state.queues[index][0]]
        return all(send.ip != self._ips[index] for send in sends)

    def _may_crash(self, state: State, index: int) -> bool:
        """Whether a process may still lose what it has not synced."""
        return bool(state.remaining.wipes or (state.remaining.crashes and index in self._victims))

    def _is_inert(self, state: State, number: int) -> bool:
        index, delivery = self._messages[number]
        if index in state.gone:
            return True
        may_crash = self._may_crash(state, index)
        key = (number, state.processes[index], state.kept[index], may_crash)
        found = self._known.get(key)
        if found is None:
            kept = self._values[state.kept[index]]
            facts = self._processes.facts(state.processes[index])
            found = self._known[key] = is_inert(
                delivery.message, kept, facts, may_crash, self._bounds.joins > 0
            )
        return found
