"""What a process knows of the whole: the newest of each kind of news, whoever brought it."""

from __future__ import annotations

from typing import Any

from config.errors import GapError
from dissemination.load_steps import Loads, LoadTable
from dissemination.loads import pack
from dissemination.messages import (
    ConfigurationNews,
    DoubtNews,
    LoadNews,
    LoadStep,
    MemberNews,
    Pulse,
    UpstreamNews,
)

News = ConfigurationNews | UpstreamNews | MemberNews | Pulse | LoadNews | LoadStep | DoubtNews


class LatestUpdates:
    """Keeps the newest news of each kind; nothing older ever takes its place."""

    def __init__(self) -> None:
        self.configuration: ConfigurationNews | None = None
        self.upstreams: UpstreamNews | None = None
        self.members: MemberNews | None = None
        self.pulse: Pulse | None = None
        self.loads: LoadNews | None = None  # from whoever tells them whole,
        self.table: LoadTable | None = None  # or from whoever tells steps
        self.doubts: DoubtNews | None = None

    def epoch(self) -> int:
        """The newest epoch of which there is news; 0 without any."""
        news = (self.upstreams, self.members, self.pulse, self.loads, self.table, self.doubts)
        return max((known.epoch for known in news if known is not None), default=0)

    def store(self, message: Any) -> bool:
        """Keep a message if it is newer than what we have; whether it was."""
        match message:
            case ConfigurationNews():
                if self.configuration is not None and message.ver <= self.configuration.ver:
                    return False
                self.configuration = message
            case UpstreamNews():
                if not _is_newer(message, self.upstreams):
                    return False
                self.upstreams = message
            case MemberNews():
                if not _is_newer(message, self.members):
                    return False
                self.members = message
            case Pulse():
                if not _is_newer(message, self.pulse):
                    return False
                self.pulse = message
            case LoadNews():
                if not _is_newer(message, self.table or self.loads):
                    return False
                self.loads, self.table = message, None
            case DoubtNews():
                if not _is_newer(message, self.doubts):
                    return False
                self.doubts = message
            case _:
                return False
        return True

    def apply_step(self, message: LoadStep) -> Loads | None:
        """Take a step of the loads: those that it tells of, as they were; None for one of an earlier term.

        Raises GapError for one that does not follow what we have.
        """
        known = self.table or self.loads
        if known is not None and message.epoch < known.epoch:
            return None
        if message.base == 0:
            table, before = LoadTable(message.epoch), dict(self.current_loads())
            if table.take(message.number, 0, message.names, message.figures) is not None:
                self.table, self.loads = table, None
                return before | dict.fromkeys(table.loads.keys() - before.keys(), (0, 0))
        elif self.table is not None and self.table.epoch == message.epoch:
            told = self.table.take(message.number, message.base, message.names, message.figures)
            if told is not None:
                return told
        raise GapError(f"step {message.number} of the loads follows {message.base}", "attach anew")

    def current_loads(self) -> Loads:
        """The sums as they are known."""
        if self.table is not None:
            return self.table.loads
        return {} if self.loads is None else {e.upstream: (e.calls, e.tokens) for e in self.loads.loads}

    def full_loads(self) -> LoadNews | None:
        """The sums as those of an earlier edition hear them."""
        if self.table is None:
            return self.loads
        return LoadNews(self.table.epoch, self.table.number, pack(self.table.loads))

    def updates_since(self, ver: int, list_stamp: tuple[int, int], steps: bool = False) -> list[News]:
        """What somebody lacks who has this version and this list, in the order in which it is told.

        `steps`: it can hear what changes from now on.
        """
        found: list[News] = []
        if self.configuration is not None and self.configuration.ver > ver:
            found.append(self.configuration)
        if self.upstreams is not None and (self.upstreams.epoch, self.upstreams.number) > list_stamp:
            found.append(self.upstreams)
        loads: LoadNews | LoadStep | None = None
        if steps and self.table is not None:
            loads = LoadStep(self.table.epoch, self.table.number, 0, *self.table.whole())
        else:
            loads = self.full_loads()
        found += [news for news in (self.members, self.pulse, loads, self.doubts) if news is not None]
        return found

    def clear_failures(self) -> None:
        """What was held against upstreams under another primary is told anew by those who hold it."""
        self.doubts = None

    def clear_loads(self) -> None:
        """What was told of others' work is no use any more; the same sums are news when they come again."""
        self.loads = self.table = None


def _is_newer(message: Any, known: Any) -> bool:
    return known is None or (message.epoch, message.number) > (known.epoch, known.number)
