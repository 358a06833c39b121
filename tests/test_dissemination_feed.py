"""Who hears the news from a process: each balancer once, by its latest connection, while it speaks."""

from __future__ import annotations

from typing import Any, cast

from dissemination import messages
from dissemination.bulletin import LatestUpdates
from dissemination.feed import Feed
from dissemination.messages import Attach, ConfigurationNews, Moved, Present, Pulse, Roll
from transport.wire import Link, MessageKinds

KINDS = MessageKinds().include(messages.KINDS)


class Wire:
    """Stands in for a link: what was sent by it, and whether it was ended."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.is_closed = False
        self.last_received_at = 0.0

    def send(self, message: Any) -> None:
        self.sent.append(message)

    def send_bytes(self, frame: bytes) -> None:
        self.sent.append(KINDS.decode(int.from_bytes(frame[4:6], "big"), frame[6:]))

    def close(self) -> None:
        self.is_closed = True


def link() -> tuple[Link, Wire]:
    wire = Wire()
    return cast(Link, wire), wire


def attach(node: str, ver: int = 0) -> Attach:
    return Attach(node, f"ip of {node}", "hall-a", ver, 0, 0)


def present(node: str) -> Present:
    return Present(node, f"ip of {node}", "hall-a")


class Desk:
    """A feed with news in it, and how often it has said that others are present."""

    def __init__(self) -> None:
        self.changes = 0
        self.bulletin = LatestUpdates()
        self.bulletin.store(ConfigurationNews(5, b"five"))
        self.feed = Feed(self.bulletin, KINDS, self._changed)

    def _changed(self) -> None:
        self.changes += 1


def test_whoever_attaches_hears_what_it_lacks_and_all_from_then_on() -> None:
    desk = Desk()
    (a, wire_a), (b, wire_b) = link(), link()
    desk.feed.attach(a, attach("a"))
    desk.feed.attach(b, attach("b", ver=5))
    assert wire_a.sent == [ConfigurationNews(5, b"five")] and wire_b.sent == []
    desk.feed.broadcast(Pulse(1, 1, 0))
    assert wire_a.sent[-1] == wire_b.sent[-1] == Pulse(1, 1, 0)
    assert desk.feed.present() == {"a": present("a"), "b": present("b")} and desk.changes == 2


def test_one_that_comes_back_by_another_connection_has_only_that() -> None:
    desk = Desk()
    (old, wire), (new, later) = link(), link()
    desk.feed.attach(old, attach("a"))
    desk.feed.on_roll(old, Roll("a", (present("a"), present("x"))))
    desk.feed.attach(new, attach("a"))
    assert wire.is_closed and not later.is_closed
    assert desk.feed.present() == {"a": present("a")}
    told = len(wire.sent)
    desk.feed.broadcast(Pulse(1, 1, 0))
    assert len(wire.sent) == told and later.sent[-1] == Pulse(1, 1, 0)
    desk.feed.on_closed(old)  # the end of the old one is no news
    assert desk.feed.present() == {"a": present("a")}
    desk.feed.attach(new, attach("a"))  # once more by the same one
    assert not later.is_closed and desk.feed.present() == {"a": present("a")}


def test_a_relay_says_who_is_below_it_and_takes_them_along() -> None:
    desk = Desk()
    (relay, _), (stranger, _) = link(), link()
    desk.feed.attach(relay, attach("r"))
    below = (present("r"), present("x"), present("y"))
    desk.feed.on_roll(relay, Roll("r", below))
    desk.feed.on_roll(relay, Roll("r", below))  # nothing new
    desk.feed.on_roll(stranger, Roll("s", (present("s"),)))  # has not attached
    assert sorted(desk.feed.present()) == ["r", "x", "y"] and desk.changes == 2
    desk.feed.on_closed(relay)
    desk.feed.on_closed(relay)
    assert desk.feed.present() == {} and desk.changes == 3


def test_the_silent_are_let_go() -> None:
    desk = Desk()
    (quiet, wire), (loud, other) = link(), link()
    desk.feed.attach(quiet, attach("q"))
    desk.feed.attach(loud, attach("l"))
    other.last_received_at = 9.0
    desk.feed.drop_silent(10.0, 2.5)
    assert wire.is_closed and not other.is_closed and list(desk.feed.present()) == ["l"]


def test_the_dismissed_are_told_where_to_go_and_nothing_more() -> None:
    desk = Desk()
    a, wire = link()
    desk.feed.attach(a, attach("a", ver=5))
    desk.feed.redirect_all(Moved(("10.2.0.1",)))
    desk.feed.broadcast(Pulse(1, 1, 0))
    assert wire.sent == [Moved(("10.2.0.1",))] and desk.feed.present() == {}
