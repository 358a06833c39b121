"""An upstream process that kills itself in the middle of a response.

python dying_upstream.py FRAMING STREAM [COUNT]. FRAMING: close, length or chunks. STREAM: 1 for an event
stream, cut between two events. COUNT: it dies once it has sent so many half responses. It prints its port.
"""

from __future__ import annotations

import os
import signal
import socket
import sys
import threading

FRAMINGS = {"close": "", "length": "Content-Length: 100\r\n", "chunks": "Transfer-Encoding: chunked\r\n"}
EVENT = "id: 1\ndata: part\n\n"


def read(peer: socket.socket) -> str:
    """Read a request with a length; returns its id, or "" at the end of the connection."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = peer.recv(65536)
        if not more:
            return ""
        data += more
    head, body = data.split(b"\r\n\r\n", 1)
    fields = dict(line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:])
    while len(body) < int(fields["content-length"]):
        body += peer.recv(65536)
    return fields["mastturn-request-id"]


def half_answer(request: str, framing: str, is_stream: bool) -> bytes:
    kind = "text/event-stream" if is_stream else "text/plain"
    part = EVENT if is_stream else "part"
    if framing == "chunks":
        part = f"{len(part):x}\r\n{part}\r\n"
    return (
        f"HTTP/1.1 200 OK\r\nMastturn-Request-Id: {request}\r\nMastturn-Server-Seal: s.1\r\n"
        f"Content-Type: {kind}\r\n{FRAMINGS[framing]}\r\n{part}"
    ).encode()


def serve(peer: socket.socket, framing: str, is_stream: bool, is_last: threading.Barrier) -> None:
    """Answer half of a request and die; nothing is left unread, so the connections end with a FIN."""
    request = read(peer)
    if request:
        peer.sendall(half_answer(request, framing, is_stream))
        is_last.wait()
        os.kill(os.getpid(), signal.SIGKILL)


def main(framing: str, stream: str, count: str = "1") -> None:
    is_last = threading.Barrier(int(count))
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    while True:
        peer, _ = listener.accept()
        threading.Thread(target=serve, args=(peer, framing, stream == "1", is_last), daemon=True).start()


if __name__ == "__main__":
    main(*sys.argv[1:])
