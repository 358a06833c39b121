"""Which children a feed sends updates to: each live balancer once, over its latest connection."""

from __future__ import annotations

from typing import Any, cast

from dissemination import messages
from dissemination.feed import Feed
from dissemination.latest_updates import LatestUpdates
from dissemination.messages import (
    Attach,
    ConfigurationUpdate,
    LeaderHeartbeat,
    PresenceReport,
    PresentBalancer,
    Redirect,
)
from transport.wire import Link, MessageKinds

KINDS = MessageKinds().include(messages.KINDS)


class FakeLink:
    """Stands in for a link: records what was sent and whether it was closed."""

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


def link() -> tuple[Link, FakeLink]:
    wire = FakeLink()
    return cast(Link, wire), wire


def attach(node: str, ver: int = 0) -> Attach:
    return Attach(node, f"ip of {node}", "hall-a", ver, 0, 0)


def present(node: str) -> PresentBalancer:
    return PresentBalancer(node, f"ip of {node}", "hall-a")


class FeedSetup:
    """A feed with a stored update, counting its change notifications."""

    def __init__(self) -> None:
        self.changes = 0
        self.latest = LatestUpdates()
        self.latest.store(ConfigurationUpdate(5, b"five"))
        self.feed = Feed(self.latest, KINDS, self._changed)

    def _changed(self) -> None:
        self.changes += 1


def test_whoever_attaches_hears_what_it_lacks_and_all_from_then_on() -> None:
    setup = FeedSetup()
    (a, wire_a), (b, wire_b) = link(), link()
    setup.feed.attach(a, attach("a"))
    setup.feed.attach(b, attach("b", ver=5))
    assert wire_a.sent == [ConfigurationUpdate(5, b"five")] and wire_b.sent == []
    setup.feed.broadcast(LeaderHeartbeat(1, 1, 0))
    assert wire_a.sent[-1] == wire_b.sent[-1] == LeaderHeartbeat(1, 1, 0)
    assert setup.feed.present() == {"a": present("a"), "b": present("b")} and setup.changes == 2


def test_one_that_comes_back_by_another_connection_has_only_that() -> None:
    setup = FeedSetup()
    (old, wire), (new, later) = link(), link()
    setup.feed.attach(old, attach("a"))
    setup.feed.on_roll(old, PresenceReport("a", (present("a"), present("x"))))
    setup.feed.attach(new, attach("a"))
    assert wire.is_closed and not later.is_closed
    assert setup.feed.present() == {"a": present("a")}
    sent_count = len(wire.sent)
    setup.feed.broadcast(LeaderHeartbeat(1, 1, 0))
    assert len(wire.sent) == sent_count and later.sent[-1] == LeaderHeartbeat(1, 1, 0)
    setup.feed.on_closed(old)  # closing the old connection changes nothing
    assert setup.feed.present() == {"a": present("a")}
    setup.feed.attach(new, attach("a"))  # again over the same connection
    assert not later.is_closed and setup.feed.present() == {"a": present("a")}


def test_a_relay_says_who_is_below_it_and_takes_them_along() -> None:
    setup = FeedSetup()
    (relay, _), (stranger, _) = link(), link()
    setup.feed.attach(relay, attach("r"))
    below = (present("r"), present("x"), present("y"))
    setup.feed.on_roll(relay, PresenceReport("r", below))
    setup.feed.on_roll(relay, PresenceReport("r", below))  # unchanged
    setup.feed.on_roll(stranger, PresenceReport("s", (present("s"),)))  # not attached
    assert sorted(setup.feed.present()) == ["r", "x", "y"] and setup.changes == 2
    setup.feed.on_closed(relay)
    setup.feed.on_closed(relay)
    assert setup.feed.present() == {} and setup.changes == 3


def test_the_silent_are_let_go() -> None:
    setup = FeedSetup()
    (quiet, wire), (loud, other) = link(), link()
    setup.feed.attach(quiet, attach("q"))
    setup.feed.attach(loud, attach("l"))
    other.last_received_at = 9.0
    setup.feed.drop_silent(10.0, 2.5)
    assert wire.is_closed and not other.is_closed and list(setup.feed.present()) == ["l"]


def test_the_dismissed_are_told_where_to_go_and_nothing_more() -> None:
    setup = FeedSetup()
    a, wire = link()
    setup.feed.attach(a, attach("a", ver=5))
    setup.feed.redirect_all(Redirect(("10.2.0.1",)))
    setup.feed.broadcast(LeaderHeartbeat(1, 1, 0))
    assert wire.sent == [Redirect(("10.2.0.1",))] and setup.feed.present() == {}
