"""What a process knows of the whole: the newest of each kind of news, whoever brought it."""

from __future__ import annotations

from typing import Any

from sonde.messages import ConfigurationNews, DoubtNews, LoadNews, MemberNews, Pulse, UpstreamNews

News = ConfigurationNews | UpstreamNews | MemberNews | Pulse | LoadNews | DoubtNews


class Bulletin:
    """Keeps the newest news of each kind; nothing older ever takes its place."""

    def __init__(self) -> None:
        self.configuration: ConfigurationNews | None = None
        self.upstreams: UpstreamNews | None = None
        self.members: MemberNews | None = None
        self.pulse: Pulse | None = None
        self.loads: LoadNews | None = None
        self.doubts: DoubtNews | None = None

    def take(self, message: Any) -> bool:
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
                if not _is_newer(message, self.loads):
                    return False
                self.loads = message
            case DoubtNews():
                if not _is_newer(message, self.doubts):
                    return False
                self.doubts = message
            case _:
                return False
        return True

    def everything(self, ver: int, list_stamp: tuple[int, int]) -> list[News]:
        """What somebody lacks who has this version and this list, in the order in which it is told."""
        found: list[News] = []
        if self.configuration is not None and self.configuration.ver > ver:
            found.append(self.configuration)
        if self.upstreams is not None and (self.upstreams.epoch, self.upstreams.number) > list_stamp:
            found.append(self.upstreams)
        found += [news for news in (self.members, self.pulse, self.loads, self.doubts) if news is not None]
        return found

    def forget_doubts(self) -> None:
        """What was held against upstreams under another primary is told anew by those who hold it."""
        self.doubts = None

    def forget_loads(self) -> None:
        """What was told of others' work is no use any more; the same sums are news when they come again."""
        self.loads = None


def _is_newer(message: Any, known: Any) -> bool:
    return known is None or (message.epoch, message.number) > (known.epoch, known.number)
