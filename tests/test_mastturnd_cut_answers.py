"""A truncated response counts as no answer: an operator's command must not show a part as the whole."""

from __future__ import annotations

import socket
import struct
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from mastturnd import asking

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset
LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"
CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@contextmanager
def answering(data: bytes, resets: bool) -> Iterator[str]:
    """A process that answers one call with the given bytes and ends the connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def answer() -> None:
            peer, _ = listener.accept()
            with peer:
                peer.recv(65_536)
                peer.sendall(data)
                if resets:
                    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

        thread = threading.Thread(target=answer)
        thread.start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"
        thread.join()


@pytest.mark.parametrize("resets", [False, True], ids=["FIN", "reset"])
@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"HTTP/1.1 200",
        LENGTH,
        LENGTH + b'{"ver": 7}',
        LENGTH + b"x" * 19,
        CHUNKS + b"5\r\n{}{}{}",
        CHUNKS + b"2\r\n{}\r\n",
    ],
    ids=["nothing", "half a head", "no body", "half a body", "but a byte", "half a chunk", "no last chunk"],
)
def test_an_answer_that_is_cut_short_is_none(data: bytes, resets: bool) -> None:
    with answering(data, resets) as place:
        assert asking.call_once(place, "GET", "/api/config") is None


@pytest.mark.parametrize(
    "data", [LENGTH + b"x" * 20, CHUNKS + b"14\r\n" + b"x" * 20 + b"\r\n0\r\n\r\n"], ids=["length", "chunks"]
)
def test_an_answer_that_is_whole_is_taken(data: bytes) -> None:
    with answering(data, resets=False) as place:
        answer = asking.call_once(place, "GET", "/api/config")
    assert answer is not None
    assert answer.body == b"x" * 20
