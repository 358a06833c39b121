"""Hosts the replica of tallies of one control process: its disk, its links to the others, its callers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from tallies.effects import Acknowledge, Effect, PersistAdds, PersistState, Send
from tallies.journal import Journal
from tallies.messages import Message
from tallies.replica import TallyReplica


class TallyKeeper:
    """Owns one `TallyReplica`; all on the event loop."""

    def __init__(
        self,
        folder: str,
        copies: int,
        ready_ms: float,
        now: Callable[[], float],
        send: Callable[[str, Message], None],
    ) -> None:
        """`copies`, `ready_ms`: see `TallyReplica`. `now`: milliseconds. `send`: to the process at an IP."""
        self._now, self._send = now, send
        self.replica = TallyReplica(copies, ready_ms, now())
        self._journal = Journal(folder, self.replica.adds.state, self._synced)
        self._tokens = 0
        self._callers: dict[int, asyncio.Future[None]] = {}
        self._is_loaded, self._is_running = False, False

    async def load(self) -> None:
        """Read what the disk has; until then nothing is heard or answered."""
        self.replica.load(await self._journal.load())
        self._is_loaded = True

    def tick(self, others: tuple[str, ...] | None) -> None:
        """Called again and again; `others`: the IPs of the other members, None while no view is known."""
        if not self._is_loaded:
            return
        if others is not None:
            self.replica.set_peers(others)
        self.replica.tick(_wall_ms(), self._now())
        self._carry_out()

    def heard(self, ip: str, message: Message) -> None:
        """A message of another control process."""
        if self._is_loaded:
            self.replica.on_message(ip, message, self._now())
            self._carry_out()

    # ---- callers

    def is_ready(self) -> bool:
        """Whether calls may be answered from what is here."""
        return self._is_loaded and self.replica.is_ready(self._now())

    def takes_adds(self) -> bool:
        """Whether the disk can be counted on for one more."""
        return self._journal.is_healthy()

    def total(self, tally: str) -> int:
        """The sum of a tally as far as it is known here."""
        return self.replica.adds.total(tally)

    async def add(self, tally: str, id_: str, amount: int) -> None:
        """Take an add; returns once it may be acknowledged."""
        self._tokens += 1
        token = self._tokens
        done = self._callers[token] = asyncio.get_running_loop().create_future()
        try:
            self.replica.add(token, tally, id_, amount, _wall_ms(), self._now())
            self._carry_out()
            await done
        finally:
            del self._callers[token]

    # ---- effects

    def _synced(self, record: int) -> None:
        self.replica.on_synced(record, self._now())
        self._carry_out()

    def _carry_out(self) -> None:
        if self._is_running:
            return
        self._is_running = True
        try:
            while effects := self.replica.take_effects():
                for effect in effects:
                    self._do(effect)
        finally:
            self._is_running = False

    def _do(self, effect: Effect) -> None:
        match effect:
            case Send(ip, message):
                self._send(ip, message)
            case PersistAdds(number, adds):
                self._journal.append(number, adds)
            case PersistState():
                self._journal.write_state()
            case Acknowledge(token):
                done = self._callers.get(token)
                if done is not None and not done.done():
                    done.set_result(None)


def _wall_ms() -> int:
    return int(time.time() * 1000)
