"""When client connections are closed: idle, silent, stalled, unread, or evicted at the connection limit."""

from __future__ import annotations

from passpost.client_connection import ClientConnection
from passpost.client_options import ClientOptions
from passpost.client_transport import Phase

CROWDED_IDLE_S = 2.0  # idle limit while connections are scarce; clients may rely on at least this long
UNREAD_TIMEOUT_S = 5.0  # for a response whose rest is not read
# For a stream that the client does not read; a slow client's window opens in large steps only.
BLOCKED_STREAM_TIMEOUT_S = 20.0
NEW_CONNECTION_GRACE_S = 0.3  # a new connection sends its first request within this time


def is_closable(connection: ClientConnection, now: float) -> bool:
    """Whether it can be closed in a drain: idle, with no bytes of a request unread in the kernel."""
    if not connection.is_available():
        return False
    if not connection.has_had_request and now - connection.state_since < NEW_CONNECTION_GRACE_S:
        return False
    return not connection.transport.has_unread()


def eviction_rank(connection: ClientConnection) -> int | None:
    """Order of eviction at the connection limit, lowest first; None if it must not be evicted."""
    if connection.is_busy() or not connection.transport.is_attached():
        return None
    if connection.transport.phase is not Phase.OPEN:
        return 0 if connection.transport.unsent_bytes() == 0 else None  # a response is still being sent
    if not connection.has_had_request:
        return 1  # silent, or an incomplete request
    return None if connection.reader.is_in_request else 2


def sweep(connection: ClientConnection, now: float, options: ClientOptions, is_crowded: bool) -> None:
    """Close a connection that has been idle, silent, incomplete, unread or lingering for too long.

    `state_since` changes with complete requests and their responses only, so that trickling bytes gains no
    time.
    """
    age, transport, reader = now - connection.state_since, connection.transport, connection.reader
    if not transport.is_attached() or (not transport.is_reading() and transport.is_disconnected()):
        return
    if reader.uploading is not None and now > reader.body_deadline:
        reader.error_status = reader.error_status or 408
        connection.exchange.abort_upload()
        connection.start_next_request()
    elif connection.exchange.is_open():
        if connection.response_writer.blocked_s(now) > BLOCKED_STREAM_TIMEOUT_S:
            transport.abort()
    elif transport.unsent_bytes() > 0:
        if age > UNREAD_TIMEOUT_S:
            transport.abort()
    elif transport.phase is Phase.ENDING:
        if age > transport.linger_s:
            transport.abort()
    elif reader.is_in_request:
        # Further bytes of a head gain no time; a body has to keep the minimum rate.
        if age > options.head_timeout_s and (reader.is_in_head or now > reader.body_deadline):
            reader.error_status = reader.error_status or 408
            connection.start_next_request()
    elif age > _idle_limit(connection, options, is_crowded) and is_closable(connection, now):
        connection.close()


def _idle_limit(connection: ClientConnection, options: ClientOptions, is_crowded: bool) -> float:
    if not connection.has_had_request:
        return options.first_request_timeout_s
    return CROWDED_IDLE_S if is_crowded else options.idle_timeout_s


def find_evictable(connections: set[ClientConnection]) -> ClientConnection | None:
    """The connection with the lowest rank, the oldest first, that has no unread bytes."""
    ranked = [(rank, c.state_since, c) for c in connections if (rank := eviction_rank(c)) is not None]
    ranked.sort(key=lambda entry: entry[:2])
    return next((c for _, _, c in ranked if not c.transport.has_unread()), None)
