"""The side that tells: whoever has attached hears all news from then on, and says who is below it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from dissemination.bulletin import LatestUpdates
from dissemination.lists import digest_of, unchanged_list
from dissemination.messages import (
    Attach,
    ConfigurationNews,
    LoadNews,
    LoadStep,
    MemberNews,
    Present,
    RelayAttach,
    Roll,
    Speaks,
    UpstreamChange,
    UpstreamNews,
)
from transport.wire import STEPS_EDITION, Link, MessageKinds, compress_frame

LONG = ConfigurationNews | UpstreamNews | MemberNews  # what may be, and is worth to be packed


@dataclass(slots=True)
class _Child:
    """Somebody who hears the news from us: what it said, who is below it, and the list that it has."""

    attached: Attach
    present: tuple[Present, ...]
    takes_steps: bool
    digest: bytes


class Feed:
    """The balancers that hear the news from us."""

    def __init__(self, latest: LatestUpdates, kinds: MessageKinds, changed: Callable[[], None]) -> None:
        """`changed`: told when others are present below us."""
        self._latest, self._kinds, self._changed = latest, kinds, changed
        self._children: dict[Link, _Child] = {}
        self._spoken: dict[Link, Speaks] = {}
        self._kept: dict[type, tuple[Any, bytes, bytes]] = {}  # the last of each kind, its frame, and packed
        self._listed: tuple[UpstreamNews | None, bytes] = None, b""

    def on_hello(self, link: Link, message: Speaks) -> None:
        """Somebody says which edition it speaks and what it has; it is yet to attach."""
        self._spoken[link] = message

    def attach(self, link: Link, message: Attach) -> None:
        """Somebody is to hear everything from now on, beginning with what it lacks."""
        for old, child in list(self._children.items()):
            if child.attached.node == message.node and old is not link:
                del self._children[old]  # it has come back by another connection
                old.close()
        self._add(link, message, (Present(message.node, message.ip, message.zone),))

    def attach_relay(self, link: Link, message: RelayAttach) -> None:
        """A control process that does not lead is to hear everything, for those whom it has taken in."""
        attached = Attach(message.identity, "", "", message.ver, message.list_epoch, message.list_number)
        self._add(link, attached, message.present)

    def _add(self, link: Link, message: Attach, present: tuple[Present, ...]) -> None:
        spoken = self._spoken.get(link)
        steps = spoken is not None and spoken.edition >= STEPS_EDITION
        child = _Child(message, present, steps, spoken.digest if spoken is not None else b"")
        self._children[link] = child
        for news in self._latest.updates_since(message.ver, (message.list_epoch, message.list_number), steps):
            if isinstance(news, UpstreamNews):
                self._tell_list(link, child, news, None)
            else:
                link.send_bytes(self._frame(news, steps))
        self._changed()

    def on_roll(self, link: Link, message: Roll) -> None:
        """A child says who is below it."""
        child = self._children.get(link)
        if child is not None and child.present != message.present:
            child.present = message.present
            self._changed()

    def on_closed(self, link: Link) -> None:
        """A connection is over."""
        self._spoken.pop(link, None)
        if self._children.pop(link, None) is not None:
            self._changed()

    def broadcast(self, message: Any) -> None:
        """Tell all children; each piece of news as its edition takes it."""
        for link, child in list(self._children.items()):
            if isinstance(message, LoadStep) and not child.takes_steps:
                continue
            link.send_bytes(self._frame(message, child.takes_steps))

    def broadcast_list(self, news: UpstreamNews, change: UpstreamChange | None) -> None:
        """Tell all children of a list; `change`: what is new in it since the one before."""
        for link, child in list(self._children.items()):
            self._tell_list(link, child, news, change)

    def _tell_list(
        self, link: Link, child: _Child, news: UpstreamNews, change: UpstreamChange | None
    ) -> None:
        """Only what it lacks, if it can be told that."""
        digest = self._digest(news)
        if child.takes_steps and child.digest == digest:
            link.send(unchanged_list(news))
        elif child.takes_steps and change is not None and child.digest == change.base:
            link.send(change)
        else:
            link.send_bytes(self._frame(news, child.takes_steps))
        child.digest = digest

    def broadcast_full_loads(self, message: LoadNews) -> None:
        """Tell the sums to the children of an earlier edition."""
        for link, child in list(self._children.items()):
            if not child.takes_steps:
                link.send(message)

    def has_earlier_editions(self) -> bool:
        """Whether some children are of an edition that takes no steps."""
        return any(not child.takes_steps for child in self._children.values())

    def _frame(self, message: Any, steps: bool) -> bytes:
        """As it goes out: encoded once for all that hear it, and packed where that pays and is understood."""
        kept = self._kept.get(type(message))
        if kept is None or kept[0] is not message:
            frame = self._kinds.encode(message)
            short = compress_frame(frame) if isinstance(message, LONG) else frame
            kept = self._kept[type(message)] = message, frame, short
        return kept[2] if steps else kept[1]

    def _digest(self, news: UpstreamNews) -> bytes:
        if self._listed[0] is not news:
            self._listed = news, digest_of(news)
        return self._listed[1]

    def redirect_all(self, message: Any) -> None:
        """Send all children elsewhere."""
        self.broadcast(message)
        self._children.clear()

    def present(self) -> dict[str, Present]:
        """Everybody below us, by node."""
        return {p.node: p for child in self._children.values() for p in child.present}

    def child_nodes(self) -> list[str]:
        """Those that hear the news from us themselves, by node."""
        return [child.attached.node for child in self._children.values()]

    def drop_silent(self, now: float, silent_s: float) -> None:
        """Let go of children whose connection has been silent for too long: they speak while they live."""
        for link in list(self._children):
            if now - link.last_received_at > silent_s:
                link.close()
                self.on_closed(link)
