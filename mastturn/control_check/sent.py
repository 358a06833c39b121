"""The network of a search: numbers every message ever sent; a set of messages is an integer bit mask."""

from __future__ import annotations

from collections.abc import Iterator

from consensus.effects import Send
from mastturn.control_check.local import Delivery


class SentMessages:
    """Messages between the processes at these IPs, numbered in order of first use."""

    def __init__(self, ips: tuple[str, ...]) -> None:
        self._ips = ips
        self._numbers: dict[tuple[str, str, object], int] = {}
        self._by_number: list[tuple[int, Delivery]] = []  # index of the receiver

    def bit(self, sender: int, send: Send) -> int:
        """Returns the bit of a message; 0 if no process has the receiver's IP."""
        if send.ip not in self._ips:
            return 0
        key = (self._ips[sender], send.ip, send.message)
        number = self._numbers.get(key)
        if number is None:
            number = self._numbers[key] = len(self._by_number)
            self._by_number.append((self._ips.index(send.ip), Delivery(self._ips[sender], send.message)))
        return 1 << number

    def __getitem__(self, number: int) -> tuple[int, Delivery]:
        """Returns the receiver's index and the delivery."""
        return self._by_number[number]

    def __len__(self) -> int:
        return len(self._by_number)

    def latest(self, kind: str, sender: int, receiver: int) -> int | None:
        """Returns the number of the latest message of a type from one process to another."""
        for number in reversed(range(len(self._by_number))):
            index, delivery = self._by_number[number]
            ends = index == receiver and delivery.ip == self._ips[sender]
            if ends and type(delivery.message).__name__ == kind:
                return number
        return None


def numbers_in(sent: int) -> Iterator[int]:
    """Yields the numbers in a set of messages, in ascending order."""
    number = 0
    while sent:
        if sent & 1:
            yield number
        sent >>= 1
        number += 1


def by_name(messages: SentMessages, action: str) -> str:
    """Resolves `deliver TYPE FROM TO` to the latest such message; returns other actions unchanged."""
    verb, *rest = action.split()
    if verb != "deliver":
        return action
    kind, sender, receiver = rest
    number = messages.latest(kind, int(sender), int(receiver))
    if number is None:
        raise ValueError(f"nothing to {action}")
    return f"deliver {number}"
