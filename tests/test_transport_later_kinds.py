"""Two releases side by side: a kind of message that only the later one knows is passed over."""

from __future__ import annotations

import asyncio
import struct
from typing import Any

from dissemination import messages
from dissemination.messages import Pulse
from transport.wire import MAX_KIND_NUMBER, Link, MessageKinds

KINDS = MessageKinds().include(messages.KINDS)


class Wire(asyncio.Transport):
    """A connection that keeps nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.is_over = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return ("10.0.0.1", 1) if name == "peername" else default

    def is_closing(self) -> bool:
        return self.is_over

    def abort(self) -> None:
        self.is_over = True


def hear(data: bytes) -> tuple[list[Any], bool]:
    """What a link hears in these bytes, and whether it goes on."""
    heard: list[Any] = []
    wire = Wire()

    async def scene() -> None:
        link = Link(KINDS, lambda link, message: heard.append(message), lambda link: None)
        link.connection_made(wire)
        link.data_received(data)

    asyncio.run(scene())
    return heard, not wire.is_over


def test_a_later_release_is_understood_as_far_as_it_says_what_we_know() -> None:
    """Found by hand: a balancer of the release before holdings was cut off seven times a second."""
    pulse = Pulse(1, 2, 3)
    later = struct.pack(">IH", 5, MAX_KIND_NUMBER) + b"later"
    assert hear(later + KINDS.encode(pulse) + later) == ([pulse], True)


def test_what_is_beyond_our_numbers_is_no_message_of_ours() -> None:
    assert hear(struct.pack(">IH", 3, MAX_KIND_NUMBER + 1) + b"abc") == ([], False)
    assert hear(struct.pack(">IH", 3, 0) + b"abc") == ([], False)
