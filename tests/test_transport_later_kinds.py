"""Two releases side by side: message kinds that only the later release knows are skipped."""

from __future__ import annotations

import asyncio
import struct
from typing import Any

from dissemination import messages
from dissemination.messages import LeaderHeartbeat
from transport.wire import MAX_KIND_NUMBER, Link, MessageKinds

KINDS = MessageKinds().include(messages.KINDS)


class FakeTransport(asyncio.Transport):
    """A transport that drops all data."""

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return ("10.0.0.1", 1) if name == "peername" else default

    def is_closing(self) -> bool:
        return self.is_aborted

    def abort(self) -> None:
        self.is_aborted = True


def receive(data: bytes) -> tuple[list[Any], bool]:
    """Return the messages received from these bytes, and whether the connection stays open."""
    received: list[Any] = []
    transport = FakeTransport()

    async def scene() -> None:
        link = Link(KINDS, lambda link, message: received.append(message), lambda link: None)
        link.connection_made(transport)
        link.data_received(data)

    asyncio.run(scene())
    return received, not transport.is_aborted


def test_a_later_release_is_understood_as_far_as_it_says_what_we_know() -> None:
    """A balancer of the release before holdings was disconnected seven times a second."""
    pulse = LeaderHeartbeat(1, 2, 3)
    later = struct.pack(">IH", 5, MAX_KIND_NUMBER) + b"later"
    assert receive(later + KINDS.encode(pulse) + later) == ([pulse], True)


def test_what_is_beyond_our_numbers_is_no_message_of_ours() -> None:
    assert receive(struct.pack(">IH", 3, MAX_KIND_NUMBER + 1) + b"abc") == ([], False)
    assert receive(struct.pack(">IH", 3, 0) + b"abc") == ([], False)
