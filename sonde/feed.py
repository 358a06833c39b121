"""The side that tells: whoever has attached hears all news from then on, and says who is below it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from screen.wire import Kinds, Link
from sonde.bulletin import Bulletin
from sonde.messages import Attach, Present, Roll


class Feed:
    """The balancers that hear the news from us."""

    def __init__(self, bulletin: Bulletin, kinds: Kinds, changed: Callable[[], None]) -> None:
        """`changed`: told when others are present below us."""
        self._bulletin, self._kinds, self._changed = bulletin, kinds, changed
        self._children: dict[Link, tuple[Attach, tuple[Present, ...]]] = {}

    def attach(self, link: Link, message: Attach) -> None:
        """Somebody is to hear everything from now on, beginning with what it lacks."""
        for old, (attached, _) in list(self._children.items()):
            if attached.node == message.node and old is not link:
                del self._children[old]  # it has come back by another connection
                old.close()
        self._children[link] = (message, (Present(message.node, message.ip, message.zone),))
        for news in self._bulletin.everything(message.ver, (message.list_epoch, message.list_number)):
            link.send(news)
        self._changed()

    def roll(self, link: Link, message: Roll) -> None:
        """A child says who is below it."""
        if link in self._children:
            present, attached = message.present, self._children[link][0]
            if self._children[link] != (attached, present):
                self._children[link] = (attached, present)
                self._changed()

    def ended(self, link: Link) -> None:
        """A connection is over."""
        if self._children.pop(link, None) is not None:
            self._changed()

    def tell(self, message: Any) -> None:
        """Tell all children."""
        if self._children:
            frame = self._kinds.encode(message)
            for link in list(self._children):
                link.send_bytes(frame)

    def dismiss(self, message: Any) -> None:
        """Send all children elsewhere."""
        self.tell(message)
        self._children.clear()

    def present(self) -> dict[str, Present]:
        """Everybody below us, by node."""
        return {p.node: p for _, present in self._children.values() for p in present}

    def sweep(self, now: float, silent_s: float) -> None:
        """Let go of children whose connection has been silent for too long: they speak while they live."""
        for link in list(self._children):
            if now - link.last_heard > silent_s:
                link.close()
                self.ended(link)
