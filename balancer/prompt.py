"""Parses the prompt headers of a request: length in tokens, and the prefix shared with other requests."""

from __future__ import annotations

import re
from dataclasses import dataclass

_PARTS = re.compile(rb"[0-9A-Za-z_.-]{1,64}:[0-9]{1,9}(,[0-9A-Za-z_.-]{1,64}:[0-9]{1,9})*")
_COUNT = re.compile(rb"([0-9]{1,9})(?:,([0-9]{1,9}))?")


@dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt's length in tokens, how many of them are shared, and the id of the last shared part."""

    tokens: int = 0
    shared_tokens: int = 0
    prefix: bytes = b""


def read_prompt(prefix: bytes | None, count: bytes | None) -> Prompt:
    """Parse Mastturn-Prompt-Prefix and Mastturn-Token-Count; a malformed header counts as absent."""
    tokens = 0
    if count is not None and (match := _COUNT.fullmatch(count.replace(b" ", b""))) is not None:
        tokens = int(match[1])
    prefix = prefix.replace(b" ", b"") if prefix is not None else b""
    if not _PARTS.fullmatch(prefix):
        return Prompt(tokens)
    parts = [part.split(b":") for part in prefix.split(b",")]
    sizes = [int(size) for _, size in parts]
    last_shared = parts[-2][0] if len(parts) > 1 else b""
    return Prompt(tokens or sum(sizes), sum(sizes[:-1]), last_shared)
