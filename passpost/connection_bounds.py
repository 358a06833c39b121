"""Which connections are closed and when: idle, silent, half a request, unread, or in the way of others."""

from __future__ import annotations

from passpost.client_connection import ClientConnection
from passpost.client_options import ClientOptions
from passpost.client_transport import Phase

CROWDED_IDLE_S = 2.0  # while clients are many, one that has rested so long is closed: they may count on it
UNREAD_S = 5.0  # the end of an answer may lie unread so long
STUCK_S = 20.0  # a long one may stand still so long: what a slow client reads moves on in large steps only
FRESH_S = 0.3  # a new connection brings its first request within this


def is_spare(connection: ClientConnection, now: float) -> bool:
    """Whether it can be closed in a drain: idle, and nothing of a request lies unread in the kernel."""
    if not connection.is_free():
        return False
    if not connection.is_useful and now - connection.since < FRESH_S:
        return False
    return not connection.transport.has_unread()


def worth(connection: ClientConnection) -> int | None:
    """How ill it can be spared when there are too many, the least first; None if it can't be."""
    if connection.is_busy() or not connection.transport.is_attached():
        return None
    if connection.transport.phase is not Phase.OPEN:
        return 0 if connection.transport.unsent() == 0 else None  # an answer is on its way out
    if not connection.is_useful:
        return 1  # silent, or half a request
    return None if connection.reader.is_in_request else 2


def sweep(connection: ClientConnection, now: float, options: ClientOptions, is_crowded: bool) -> None:
    """Close what has been idle, silent, half a request, unread or lingering for too long.

    `since` moves with whole requests and their answers only: a byte more now and then gains no time.
    """
    age, transport, reader = now - connection.since, connection.transport, connection.reader
    if not transport.is_attached() or (not transport.is_reading() and transport.is_left()):
        return
    if reader.sending is not None and now > reader.body_until:
        reader.bad = reader.bad or 408
        connection.exchange.cut_upload()
        connection.take_next()
    elif connection.exchange.is_open():
        if connection.answer.stuck_s(now) > STUCK_S:
            transport.abort()
    elif transport.unsent() > 0:
        if age > UNREAD_S:
            transport.abort()
    elif transport.phase is Phase.ENDING:
        if age > transport.linger_s:
            transport.abort()
    elif reader.is_in_request:
        # A byte more of a head gains no time; of a body its client has to keep the rate.
        if age > options.head_timeout_s and (reader.is_in_head or now > reader.body_until):
            reader.bad = reader.bad or 408
            connection.take_next()
    elif age > _idle_limit(connection, options, is_crowded) and is_spare(connection, now):
        connection.close()


def _idle_limit(connection: ClientConnection, options: ClientOptions, is_crowded: bool) -> float:
    if not connection.is_useful:
        return options.first_request_timeout_s
    return CROWDED_IDLE_S if is_crowded else options.idle_timeout_s


def find_spare(connections: set[ClientConnection]) -> ClientConnection | None:
    """The connection that is worth least, and of those the oldest; none on which a request has come."""
    ranked = [(value, c.since, c) for c in connections if (value := worth(c)) is not None]
    ranked.sort(key=lambda entry: entry[:2])
    return next((c for _, _, c in ranked if not c.transport.has_unread()), None)
