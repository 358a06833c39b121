"""Messages between the system's processes: Avro records in length-prefixed frames over TCP.

A frame is the length (4 bytes), the number of the message kind (2 bytes) and the record without its schema. A
kind never changes: a changed message is declared as a new kind, under the next number above all others,
beside the old one. Two releases work side by side because each skips kinds with numbers above those that it
knows.
"""

from __future__ import annotations

import asyncio
import functools
import io
import struct
import zlib
from collections.abc import Callable
from dataclasses import dataclass, fields, is_dataclass
from typing import Any

import fastavro
from loguru import logger

from config.errors import WireError
from transport.endpoint import Endpoint
from transport.schema import Reader, avro_fields, make_reader

EDITION = 7  # version of the set of kinds, shown in reports; incremented with each new kind
STEPS_EDITION = 3  # the first edition that takes compressed frames, list changes and load steps
COMPRESSED_KIND = 112  # a compressed frame: the kind of the inner frame (2 bytes) and zlib data
COMPRESSION_LEVEL = 1  # of zlib: a list of 2,800 upstreams takes some milliseconds and shrinks to a tenth
MAX_KIND_NUMBER = 255  # the highest number of a kind, in this release and later ones
MAX_FRAME_BYTES = 16 * 1024 * 1024  # four times the largest configuration
_HEADER = struct.Struct(">IH")
_INNER_KIND = struct.Struct(">H")


class _MessageKind:
    """One kind of message; its Avro schema and reader are built on first use.

    Building them would take most of the time in which a module of messages is imported.
    """

    def __init__(
        self, cls: type, number: int, schema_fields: list[dict[str, Any]] | None, nested: tuple[type, ...]
    ) -> None:
        self.cls: type = cls
        self.number: int = number
        self._schema_fields, self._nested = schema_fields, nested

    @functools.cached_property
    def schema(self) -> Any:
        """The schema as parsed by fastavro."""
        record_fields = self._schema_fields
        if record_fields is None:
            record_fields = avro_fields(self.cls, self._nested)
        return fastavro.parse_schema({"type": "record", "name": self.cls.__name__, "fields": record_fields})

    @functools.cached_property
    def reader(self) -> Reader:
        """The function that builds a message from what the Avro reader returns."""
        return make_reader(self.cls, self._nested)


class MessageKinds:
    """A set of message kinds by number, with their Avro schemas."""

    def __init__(self) -> None:
        self._by_type: dict[type, _MessageKind] = {}
        self._by_number: dict[int, _MessageKind] = {}

    def declare(
        self, number: int, schema_fields: list[dict[str, Any]] | None = None, nested: tuple[type, ...] = ()
    ) -> Callable[[type], type]:
        """Return a decorator that declares a dataclass as the message with this number.

        `schema_fields`: the fields of its schema; derived from the dataclass if None. `nested`: the
        dataclasses that its annotations name.
        """

        def register(cls: type) -> type:
            self._by_type[cls] = self._by_number[number] = _MessageKind(cls, number, schema_fields, nested)
            return cls

        return register

    def include(self, other: MessageKinds) -> MessageKinds:
        """Add the kinds of another set."""
        self._by_type |= other._by_type
        self._by_number |= other._by_number
        return self

    def encode(self, message: Any) -> bytes:
        """Return the frame of a message."""
        kind = self._by_type[type(message)]
        buffer = io.BytesIO()
        buffer.write(b"\0" * _HEADER.size)
        fastavro.schemaless_writer(buffer, kind.schema, to_avro(message))
        size = buffer.tell() - _HEADER.size
        buffer.seek(0)
        buffer.write(_HEADER.pack(size, kind.number))
        return buffer.getvalue()

    def is_later_kind(self, number: int) -> bool:
        """Return whether only a later release can know this number; above `MAX_KIND_NUMBER` it is invalid."""
        return max(self._by_number, default=0) < number <= MAX_KIND_NUMBER

    def decode(self, number: int, body: bytes) -> Any:
        """Return the message of a frame, compressed or not; raises WireError."""
        if number == COMPRESSED_KIND:
            number, body = decompress_frame(body)
        kind = self._by_number.get(number)
        if kind is None:
            raise WireError(f"unknown message kind {number}", "run compatible releases on both sides")
        try:
            stream = io.BytesIO(body)
            value: Any = fastavro.schemaless_reader(stream, kind.schema, None)
            if stream.read(1):
                raise ValueError("trailing bytes")
            return kind.reader(value)
        except (ValueError, TypeError, EOFError, IndexError, KeyError, struct.error, OverflowError) as error:
            raise WireError(f"invalid {kind.cls.__name__} message ({error})", "drop the connection") from None


def compress_frame(frame: bytes) -> bytes:
    """Return the frame compressed, or unchanged if compression doesn't make it smaller."""
    _, number = _HEADER.unpack_from(frame)
    body = _INNER_KIND.pack(number) + zlib.compress(frame[_HEADER.size :], COMPRESSION_LEVEL)
    return _HEADER.pack(len(body), COMPRESSED_KIND) + body if len(body) + _HEADER.size < len(frame) else frame


def decompress_frame(body: bytes) -> tuple[int, bytes]:
    """Return the kind and the body of the inner frame; raises WireError."""
    try:
        (number,) = _INNER_KIND.unpack_from(body)
        decompressor = zlib.decompressobj()
        inner = decompressor.decompress(body[_INNER_KIND.size :], MAX_FRAME_BYTES)
    except (struct.error, zlib.error) as error:
        raise WireError(f"invalid compressed frame ({error})", "drop the connection") from None
    if number == COMPRESSED_KIND or not decompressor.eof or decompressor.unused_data:
        raise WireError("a compressed frame holds an invalid inner frame", "drop the connection")
    return number, inner


def to_avro(value: Any) -> Any:
    """Return a value in the form that the Avro writer takes."""
    if isinstance(value, str | int | float | bytes) or value is None:
        return value
    if isinstance(value, list | tuple):
        return [to_avro(item) for item in value]
    if is_dataclass(value) and not isinstance(value, type):
        return {name: to_avro(getattr(value, name)) for name in _field_names(type(value))}
    return value


@functools.cache
def _field_names(cls: type) -> tuple[str, ...]:
    return tuple(field.name for field in fields(cls))


@dataclass(frozen=True, slots=True)
class Frame:
    """A received frame: the number of its kind and its body."""

    number: int
    body: bytes


class FrameReader:
    """Splits a byte stream into frames."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self._buffer = bytearray()
        self._max_bytes = max_bytes

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames completed by `data`; raises WireError for a frame above the limit."""
        self._buffer += data
        frames = []
        while len(self._buffer) >= _HEADER.size:
            size, number = _HEADER.unpack_from(self._buffer)
            if size > self._max_bytes:
                raise WireError(f"a frame of {size} bytes exceeds the limit", "drop the connection")
            end = _HEADER.size + size
            if len(self._buffer) < end:
                break
            frames.append(Frame(number, bytes(self._buffer[_HEADER.size : end])))
            del self._buffer[:end]
        return frames


class Link(asyncio.Protocol):
    """One bidirectional connection for messages; its owner is called for each message and at its end."""

    def __init__(
        self,
        kinds: MessageKinds,
        on_message: Callable[[Link, Any], None],
        on_closed: Callable[[Link], None],
        on_connected: Callable[[Link], None] | None = None,
        max_unsent_bytes: int = 4 * MAX_FRAME_BYTES,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        self._kinds, self._on_message, self._on_closed, self._on_connected = (
            kinds,
            on_message,
            on_closed,
            on_connected,
        )
        self._reader = FrameReader(max_frame_bytes)
        self._transport: asyncio.Transport | None = None
        self._max_unsent_bytes = max_unsent_bytes
        self.peer = ""  # IP of the other side
        self.endpoint: Endpoint | None = None  # of the process on the other side, once known
        self.last_received_at = 0.0  # on the loop's clock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and report that the connection is open."""
        assert isinstance(transport, asyncio.Transport) or hasattr(transport, "write")
        self._transport = transport  # type: ignore[assignment]
        self.peer = (transport.get_extra_info("peername") or ("",))[0]
        self.last_received_at = asyncio.get_running_loop().time()
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Decode received frames, skipping kinds of later releases; invalid bytes end the connection."""
        self.last_received_at = asyncio.get_running_loop().time()
        try:
            for frame in self._reader.feed(data):
                number, body = frame.number, frame.body
                if number == COMPRESSED_KIND:
                    number, body = decompress_frame(body)
                if self._kinds.is_later_kind(number):
                    continue
                self._on_message(self, self._kinds.decode(number, body))
        except WireError as error:
            logger.warning("event=bad_bytes peer={} error={!r}", self.peer, str(error))
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the connection is closed."""
        self._transport = None
        self._on_closed(self)

    def send(self, message: Any) -> None:
        """Send a message; it is lost if the connection is closed."""
        self.send_bytes(self._kinds.encode(message))

    def send_bytes(self, frame: bytes) -> None:
        """Send an encoded frame; closes the connection if the peer has too much unread."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() > self._max_unsent_bytes:
            self.close()
            return
        self._transport.write(frame)

    def socket(self) -> Any:
        """The underlying socket; None once the connection is closed."""
        return None if self._transport is None else self._transport.get_extra_info("socket")

    def is_up(self) -> bool:
        """Return whether the connection is open for sending."""
        return self._transport is not None and not self._transport.is_closing()

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()
