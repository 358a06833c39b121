"""What a request tells of its prompt: how long it is, and which part of it others share."""

from __future__ import annotations

import re
from dataclasses import dataclass

_PARTS = re.compile(rb"[0-9A-Za-z_.-]{1,64}:[0-9]{1,9}(,[0-9A-Za-z_.-]{1,64}:[0-9]{1,9})*")
_COUNT = re.compile(rb"([0-9]{1,9})(?:,([0-9]{1,9}))?")


@dataclass(frozen=True, slots=True)
class Prompt:
    """`tokens` to be read, `shared` of them in parts that others have too; `subject`: the last of those."""

    tokens: int = 0
    shared_tokens: int = 0
    prefix: bytes = b""


def read_prompt(prefix: bytes | None, count: bytes | None) -> Prompt:
    """What Mastturn-Prompt-Prefix and Mastturn-Token-Count tell; what can't be read counts as not told."""
    tokens = 0
    if count is not None and (told := _COUNT.fullmatch(count.replace(b" ", b""))) is not None:
        tokens = int(told[1])
    prefix = prefix.replace(b" ", b"") if prefix is not None else b""
    if not _PARTS.fullmatch(prefix):
        return Prompt(tokens)
    parts = [part.split(b":") for part in prefix.split(b",")]
    sizes = [int(size) for _, size in parts]
    subject = parts[-2][0] if len(parts) > 1 else b""
    return Prompt(tokens or sum(sizes), sum(sizes[:-1]), subject)
