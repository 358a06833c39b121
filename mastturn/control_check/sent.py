"""The network of a search: all that was ever sent, by number; a set of messages is an integer."""

from __future__ import annotations

from collections.abc import Iterator

from consensus.effects import Send
from mastturn.control_check.local import Delivery


class SentMessages:
    """Messages between the processes at these IPs, numbered as they come up."""

    def __init__(self, ips: tuple[str, ...]) -> None:
        self._ips = ips
        self._numbers: dict[tuple[str, str, object], int] = {}
        self._by_number: list[tuple[int, Delivery]] = []  # index of the receiver

    def bit(self, sender: int, send: Send) -> int:
        """The message as a set of one; none where nobody has that IP."""
        if send.ip not in self._ips:
            return 0
        key = (self._ips[sender], send.ip, send.message)
        number = self._numbers.get(key)
        if number is None:
            number = self._numbers[key] = len(self._by_number)
            self._by_number.append((self._ips.index(send.ip), Delivery(self._ips[sender], send.message)))
        return 1 << number

    def __getitem__(self, number: int) -> tuple[int, Delivery]:
        """The receiver's index, and the message as it hears it."""
        return self._by_number[number]

    def __len__(self) -> int:
        return len(self._by_number)

    def latest(self, kind: str, sender: int, receiver: int) -> int | None:
        """The number of the latest message of that type from one process to another."""
        for number in reversed(range(len(self._by_number))):
            index, delivery = self._by_number[number]
            ends = index == receiver and delivery.ip == self._ips[sender]
            if ends and type(delivery.message).__name__ == kind:
                return number
        return None


def numbers_in(sent: int) -> Iterator[int]:
    """The numbers of a set of messages, from the first."""
    number = 0
    while sent:
        if sent & 1:
            yield number
        sent >>= 1
        number += 1


def by_name(messages: SentMessages, action: str) -> str:
    """`deliver Prepare 1 2`: the latest message of that kind from one to the other; else as it stands."""
    verb, *rest = action.split()
    if verb != "deliver":
        return action
    kind, sender, receiver = rest
    number = messages.latest(kind, int(sender), int(receiver))
    if number is None:
        raise ValueError(f"nothing to {action}")
    return f"deliver {number}"
