"""Runs the tally replica of one control process, with its journal, messages and pending requests."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from tallies.effects import Acknowledge, Effect, PersistAdds, PersistState, Send
from tallies.journal import Journal
from tallies.messages import Message
from tallies.replica import TallyReplica


class TallyKeeper:
    """Runs one `TallyReplica` on the event loop."""

    def __init__(
        self,
        folder: str,
        copies: int,
        ready_ms: float,
        now: Callable[[], float],
        send: Callable[[str, Message], None],
    ) -> None:
        """`copies`, `ready_ms`: see `TallyReplica`.

        `now`: in milliseconds. `send`: to the process at an IP.
        """
        self._now, self._send = now, send
        self.replica = TallyReplica(copies, ready_ms, now())
        self._journal = Journal(folder, self.replica.adds.state, self._on_synced)
        self._last_token = 0
        self._pending: dict[int, asyncio.Future[None]] = {}
        self._is_loaded, self._is_applying = False, False

    async def load(self) -> None:
        """Load the journal; messages are ignored and requests refused until then."""
        self.replica.load(await self._journal.load())
        self._is_loaded = True

    def tick(self, others: tuple[str, ...] | None) -> None:
        """Advance the replica; `others`: the IPs of the other members, None while no view is known."""
        if not self._is_loaded:
            return
        if others is not None:
            self.replica.set_peers(others)
        self.replica.tick(_wall_ms(), self._now())
        self._apply_effects()

    def on_message(self, ip: str, message: Message) -> None:
        """Handle a message of another control process."""
        if self._is_loaded:
            self.replica.on_message(ip, message, self._now())
            self._apply_effects()

    # ---- requests

    def is_ready(self) -> bool:
        """Return whether requests may be answered from the local state."""
        return self._is_loaded and self.replica.is_ready(self._now())

    def accepts_adds(self) -> bool:
        """Return whether the disk is healthy enough to take another add."""
        return self._journal.is_healthy()

    def total(self, tally: str) -> int:
        """Return the sum of a tally as known here."""
        return self.replica.adds.total(tally)

    async def add(self, tally: str, id_: str, amount: int) -> None:
        """Add to a tally; returns once the add may be acknowledged."""
        self._last_token += 1
        token = self._last_token
        done = self._pending[token] = asyncio.get_running_loop().create_future()
        try:
            self.replica.add(token, tally, id_, amount, _wall_ms(), self._now())
            self._apply_effects()
            await done
        finally:
            del self._pending[token]

    # ---- effects

    def _on_synced(self, record: int) -> None:
        self.replica.on_synced(record, self._now())
        self._apply_effects()

    def _apply_effects(self) -> None:
        if self._is_applying:
            return
        self._is_applying = True
        try:
            while effects := self.replica.take_effects():
                for effect in effects:
                    self._apply(effect)
        finally:
            self._is_applying = False

    def _apply(self, effect: Effect) -> None:
        match effect:
            case Send(ip, message):
                self._send(ip, message)
            case PersistAdds(number, adds):
                self._journal.append(number, adds)
            case PersistState():
                self._journal.write_state()
            case Acknowledge(token):
                done = self._pending.get(token)
                if done is not None and not done.done():
                    done.set_result(None)


def _wall_ms() -> int:
    return int(time.time() * 1000)
