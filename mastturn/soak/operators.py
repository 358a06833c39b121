"""Operators who change the configuration all the time, now and then to one that is invalid, and read it."""

from __future__ import annotations

import asyncio
import json
import random
import time

from aiohttp import ClientError, ClientSession, ClientTimeout

from mastturn.soak.fleet import configuration
from mastturn.soak.records import Put, Read, Records

PERIOD_S = 1.0
CALL_S = 1.0
INVALID_SHARE, READ_SHARE = 0.2, 0.4
REFUSALS = (400, 409, 412, 413, 422)
MOST_STEP = 4  # versions rise by up to so many
IDLE_ROUTES = 8
END_S = 20.0


class Operator:
    """One of them: it builds on the newest version that it knows of."""

    def __init__(self, number: int, seed: int, ctl: list[str], records: Records) -> None:
        self._dice = random.Random(f"{seed}/operator/{number}")
        self._ctl, self._records, self._known = ctl, records, 1
        self._number, self._count = (
            number,
            0,
        )  # of this operator, and of its changes: no two changes are alike

    async def run(self, stop: asyncio.Event) -> None:
        """A change each second until told to stop."""
        async with ClientSession(timeout=ClientTimeout(total=CALL_S)) as session:
            while not stop.is_set():
                begin = time.monotonic()
                if self._dice.random() < READ_SHARE:
                    await self._look(session)
                await self._change(session, stop)
                await asyncio.sleep(
                    max(begin + PERIOD_S * self._dice.uniform(0.5, 1.5) - time.monotonic(), 0.0)
                )

    async def _change(self, session: ClientSession, stop: asyncio.Event) -> None:
        """One change, sent again as it was until its answer is clear."""
        ver = self._known + self._dice.randint(1, MOST_STEP)
        self._count += 1
        raw = configuration(ver, self._dice.randint(0, IDLE_ROUTES), f"{self._number}-{self._count}")
        is_valid = self._dice.random() >= INVALID_SHARE
        if not is_valid:
            raw["routes"][0]["svc"] = "nobody"  # type: ignore[index]
        put = Put(ver, self._known, json.dumps(raw).encode(), is_valid, time.monotonic())
        self._records.puts.append(put)
        while not stop.is_set():
            put.status = await self._send(session, put)
            if put.status == 200 or put.status in REFUSALS:
                put.answered_at = time.monotonic()
                break
            await asyncio.sleep(0.1)
        if put.status == 200:
            self._known = ver
        elif put.status == 412 or not is_valid:
            await self._look(session)

    async def _send(self, session: ClientSession, put: Put) -> int:
        place = self._dice.choice(self._ctl)
        try:
            async with session.put(
                f"http://{place}/api/config", data=put.body, headers={"If-Match": str(put.base)}
            ) as answer:
                return answer.status
        except (ClientError, OSError, TimeoutError):
            return 0

    async def _look(self, session: ClientSession) -> None:
        """Read the newest version."""
        read = await read_configuration(session, self._dice.choice(self._ctl))
        self._records.reads.append(read)
        self._known = max(self._known, read.ver)


async def read_configuration(session: ClientSession, place: str) -> Read:
    """What one control process says that the newest configuration is."""
    sent_at = time.monotonic()
    try:
        async with session.get(f"http://{place}/api/config") as answer:
            body = await answer.read()
            if answer.status == 200:
                return Read(place, sent_at, int(json.loads(body)["ver"]), body)
    except (ClientError, OSError, TimeoutError, ValueError, KeyError):
        pass
    return Read(place, sent_at, 0)


async def read_back(ctl: list[str], records: Records) -> None:
    """The configuration at the end, asked for until there is a clear answer."""
    until = time.monotonic() + END_S
    async with ClientSession(timeout=ClientTimeout(total=CALL_S)) as session:
        while time.monotonic() < until and not records.settled_ver:
            for place in ctl:
                read = await read_configuration(session, place)
                if read.ver:
                    records.settled_ver, records.settled_body = read.ver, read.body
                    return
            await asyncio.sleep(0.2)
