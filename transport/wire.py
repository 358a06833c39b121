"""Messages between the system's own processes: Avro records in frames, over TCP.

A frame is its length (4 bytes), the number of its kind (2 bytes) and the record without a schema. A kind
never changes: one that has to is declared anew under the next number above all others, beside the old one.
Programs of two releases work side by side as each passes over the kinds that are above those it knows.
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
from transport.schema import Reader, fields_of, reader_of

EDITION = 7  # of all kinds together, as reports show it: the next number with each new kind
STEPS_EDITION = 3  # and later ones take packed frames, changes of the list and steps of loads
COMPRESSED_KIND = 112  # a frame within a frame, compressed: the inner one's kind (2 bytes) and zlib's bytes
PACK_LEVEL = 1  # of zlib: the list of 2,800 upstreams in some milliseconds, to a tenth
MAX_KIND_NUMBER = 255  # of a kind, in this release and later ones
MAX_FRAME_BYTES = 16 * 1024 * 1024  # a whole configuration fits four times
_HEAD = struct.Struct(">IH")
_INNER = struct.Struct(">H")


class _Kind:
    """One kind of message; its Avro schema and reader are made when a message of it first goes or comes.

    To make them takes longer than all else that a module of messages does when it is loaded.
    """

    def __init__(
        self, cls: type, number: int, schema_fields: list[dict[str, Any]] | None, nested: tuple[type, ...]
    ) -> None:
        self.cls: type = cls
        self.number: int = number
        self._schema_fields, self._nested = schema_fields, nested

    @functools.cached_property
    def schema(self) -> Any:
        """As fastavro takes it."""
        listed = self._schema_fields
        if listed is None:
            listed = fields_of(self.cls, self._nested)
        return fastavro.parse_schema({"type": "record", "name": self.cls.__name__, "fields": listed})

    @functools.cached_property
    def reader(self) -> Reader:
        """Makes a message of what Avro's reader gives."""
        return reader_of(self.cls, self._nested)


class MessageKinds:
    """The kinds of message of one conversation, by number, with their Avro schemas."""

    def __init__(self) -> None:
        self._by_type: dict[type, _Kind] = {}
        self._by_number: dict[int, _Kind] = {}

    def declare(
        self, number: int, schema_fields: list[dict[str, Any]] | None = None, nested: tuple[type, ...] = ()
    ) -> Callable[[type], type]:
        """Declare a dataclass as the message of this number, with its schema or one that its fields give.

        `nested`: the dataclasses that its fields name.
        """

        def take(cls: type) -> type:
            self._by_type[cls] = self._by_number[number] = _Kind(cls, number, schema_fields, nested)
            return cls

        return take

    def include(self, other: MessageKinds) -> MessageKinds:
        """Speak the other conversation too."""
        self._by_type |= other._by_type
        self._by_number |= other._by_number
        return self

    def encode(self, message: Any) -> bytes:
        """One frame."""
        kind = self._by_type[type(message)]
        out = io.BytesIO()
        out.write(b"\0" * _HEAD.size)
        fastavro.schemaless_writer(out, kind.schema, to_avro(message))
        size = out.tell() - _HEAD.size
        out.seek(0)
        out.write(_HEAD.pack(size, kind.number))
        return out.getvalue()

    def may_be_later(self, number: int) -> bool:
        """Whether only a later release may know this number; beyond `MOST_NUMBER` is no message of ours."""
        return max(self._by_number, default=0) < number <= MAX_KIND_NUMBER

    def decode(self, number: int, body: bytes) -> Any:
        """The message of a frame, packed or not; raises WireError."""
        if number == COMPRESSED_KIND:
            number, body = decompress_frame(body)
        kind = self._by_number.get(number)
        if kind is None:
            raise WireError(
                f"a message of unknown kind {number}", "let both programs be of editions that meet"
            )
        try:
            stream = io.BytesIO(body)
            value: Any = fastavro.schemaless_reader(stream, kind.schema, None)
            if stream.read(1):
                raise ValueError("bytes are left over")
            return kind.reader(value)
        except (ValueError, TypeError, EOFError, IndexError, KeyError, struct.error, OverflowError) as error:
            raise WireError(f"a {kind.cls.__name__} can't be read ({error})", "drop the connection") from None


def compress_frame(frame: bytes) -> bytes:
    """The same frame, compressed; as it is where that makes it no smaller."""
    _, number = _HEAD.unpack_from(frame)
    body = _INNER.pack(number) + zlib.compress(frame[_HEAD.size :], PACK_LEVEL)
    return _HEAD.pack(len(body), COMPRESSED_KIND) + body if len(body) + _HEAD.size < len(frame) else frame


def decompress_frame(body: bytes) -> tuple[int, bytes]:
    """The kind and the body of the frame within; raises WireError."""
    try:
        (number,) = _INNER.unpack_from(body)
        unpack = zlib.decompressobj()
        inner = unpack.decompress(body[_INNER.size :], MAX_FRAME_BYTES)
    except (struct.error, zlib.error) as error:
        raise WireError(f"a packed frame can't be read ({error})", "drop the connection") from None
    if number == COMPRESSED_KIND or not unpack.eof or unpack.unused_data:
        raise WireError("a packed frame holds no frame of ours", "drop the connection")
    return number, inner


def to_avro(value: Any) -> Any:
    """A message as Avro's writer takes it."""
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
    """A frame as it came."""

    number: int
    body: bytes


class FrameReader:
    """Cuts a stream of bytes into frames."""

    def __init__(self, most: int = MAX_FRAME_BYTES) -> None:
        self._held = bytearray()
        self._most = most

    def feed(self, data: bytes) -> list[Frame]:
        """The frames that are whole now; raises WireError on one that is too long."""
        self._held += data
        found = []
        while len(self._held) >= _HEAD.size:
            size, number = _HEAD.unpack_from(self._held)
            if size > self._most:
                raise WireError(f"a frame of {size} bytes", "drop the connection")
            end = _HEAD.size + size
            if len(self._held) < end:
                break
            found.append(Frame(number, bytes(self._held[_HEAD.size : end])))
            del self._held[:end]
        return found


class Link(asyncio.Protocol):
    """One connection that carries messages both ways; its owner hears of each, and of the end."""

    def __init__(
        self,
        kinds: MessageKinds,
        heard: Callable[[Link, Any], None],
        ended: Callable[[Link], None],
        begun: Callable[[Link], None] | None = None,
        max_unsent_bytes: int = 4 * MAX_FRAME_BYTES,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        self._kinds, self._heard, self._ended, self._begun = kinds, heard, ended, begun
        self._reader = FrameReader(max_frame_bytes)
        self._transport: asyncio.Transport | None = None
        self._most_unsent = max_unsent_bytes
        self.peer = ""  # the IP of the other side
        self.endpoint: Endpoint | None = None  # of the process on the other side, once it is known
        self.last_received_at = 0.0  # on the loop's clock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        assert isinstance(transport, asyncio.Transport) or hasattr(transport, "write")
        self._transport = transport  # type: ignore[assignment]
        self.peer = (transport.get_extra_info("peername") or ("",))[0]
        self.last_received_at = asyncio.get_running_loop().time()
        if self._begun is not None:
            self._begun(self)

    def data_received(self, data: bytes) -> None:
        """Bytes of messages, cut anywhere; what is no message ends the connection."""
        self.last_received_at = asyncio.get_running_loop().time()
        try:
            for frame in self._reader.feed(data):
                number, body = frame.number, frame.body
                if number == COMPRESSED_KIND:
                    number, body = decompress_frame(body)
                if self._kinds.may_be_later(number):
                    continue
                self._heard(self, self._kinds.decode(number, body))
        except WireError as error:
            logger.warning("event=bad_bytes peer={} error={!r}", self.peer, str(error))
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """The other side has gone."""
        self._transport = None
        self._ended(self)

    def send(self, message: Any) -> None:
        """Send a message, unless the connection has gone; a peer that takes nothing loses it."""
        self.send_bytes(self._kinds.encode(message))

    def send_bytes(self, frame: bytes) -> None:
        """Send a frame that is encoded already."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() > self._most_unsent:
            self.close()
            return
        self._transport.write(frame)

    def socket(self) -> Any:
        """The socket below, to set options on; None once it is gone."""
        return None if self._transport is None else self._transport.get_extra_info("socket")

    def is_up(self) -> bool:
        """Whether messages can go out."""
        return self._transport is not None and not self._transport.is_closing()

    def close(self) -> None:
        """End it at once."""
        if self._transport is not None:
            self._transport.abort()
