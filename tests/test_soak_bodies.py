"""Request bodies of a soak: upstreams compare what they receive with what clients send."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from mastturn.soak import bodies, faults
from mastturn.soak.checker import Checker
from mastturn.soak.faults import Fault
from mastturn.soak.records import (
    Arrival,
    ClientBehavior,
    ClientRequest,
    EndKind,
    Records,
    RequestEnd,
    RequestKind,
    UnexpectedInput,
)
from mastturn.soak.upstream import Handles, Upstream
from mastturn.soak.wire import BadRequestError, Reader, RequestHead, read_body, read_head
from mastturn.standins.ports import free_port
from tests.loopback import run

SEED = next(seed for seed in range(99) if faults.draw(seed, "r1", 0).fault is Fault.GOOD)
HEAD = "POST /once/1 HTTP/1.1\r\nMastturn-Request-Id: r1\r\n"


def reader_of(data: bytes) -> Reader:
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    return reader


async def read_request(data: bytes) -> tuple[RequestHead | None, bytes]:
    reader = reader_of(data)
    request_head = await read_head(reader)
    return request_head, await read_body(request_head, reader) if request_head is not None else b""


def test_bodies_are_alike_for_alike_seeds_and_come_in_all_sizes_and_framings() -> None:
    drawn = [bodies.draw(random.Random(n), f"r{n}") for n in range(400)]
    assert drawn == [bodies.draw(random.Random(n), f"r{n}") for n in range(400)]
    assert {body.size for body in drawn} == set(bodies.SIZES)
    assert len({body.header.partition(":")[0] for body in drawn}) == 2
    assert {len(body.pieces) for body in drawn} == {1, bodies.PIECES}


@pytest.mark.parametrize("seed", range(20))
def test_a_body_is_read_back_as_it_was_drawn(seed: int) -> None:
    body = bodies.draw(random.Random(seed), "r1")
    data = f"{HEAD}{body.header}\r\n\r\n".encode() + b"".join(body.pieces)
    request_head, read = asyncio.run(read_request(data))
    assert request_head is not None
    assert read == bodies.content("r1", body.size)


@pytest.mark.parametrize(
    "data",
    [
        b"r1;r1;r1;\r\n\r\n",
        b"r1;r1;r1;",
        f"{HEAD}Transfer-Encoding: chunked\r\n\r\nr1;\r\n".encode(),
        f"{HEAD}Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n".encode(),
    ],
    ids=["in a head's place", "at the end", "in a size's place", "in an end's place"],
)
def test_bytes_of_a_body_in_another_place_are_no_request(data: bytes) -> None:
    with pytest.raises(BadRequestError):
        asyncio.run(read_request(data))


def test_the_beginning_of_a_head_is_only_the_end_of_a_connection() -> None:
    assert asyncio.run(read_request(b"POST /once")) == (None, b"")
    assert asyncio.run(read_request(b"")) == (None, b"")


@pytest.mark.parametrize(
    ("body", "unexpected_inputs"),
    [
        (b"r1;r1;", []),
        (b"r1;r2;", ["a different body from byte 4 on: b'2;'"]),
        (b"r1", []),  # the rest is missing
        (b"xx", ["a different body from byte 0 on: b'xx'"]),
    ],
)
def test_an_upstream_compares_what_comes_with_what_its_client_sends(
    body: bytes, unexpected_inputs: list[str]
) -> None:
    records = Records()

    async def send() -> None:
        address = f"127.0.0.1:{free_port()}"
        upstream = Upstream("u1", address, "hall-a", "decode", SEED, records, Handles({}, Counter()))
        await upstream.start()
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"{HEAD}Content-Length: 6\r\n\r\n".encode() + body)
        writer.write_eof()
        await reader.read()  # until the upstream closes the connection
        upstream.crash()
        writer.close()

    run(send())
    assert [a.description for a in records.unexpected_inputs] == unexpected_inputs


def test_what_no_client_sent_is_found() -> None:
    request_record = ClientRequest(
        "r1", RequestKind.SAFE, ClientBehavior.KEPT, "edge-a", 10.0, 14.0, False, size=6
    )
    request_record.ends.append(RequestEnd(EndKind.LEFT, 10.5))
    for size, rules in ((6, []), (None, []), (5, ["unasked"])):
        arrival = Arrival("r1", "u1", 10.1, Fault.GOOD, size=size)
        assert [f.rule for f in Checker(Records([request_record], [arrival])).findings()] == rules
    records = Records(unexpected_inputs=[UnexpectedInput("u1", 10.0, "r1", "bytes that are not a request")])
    assert [f.rule for f in Checker(records).findings()] == ["unasked"]
