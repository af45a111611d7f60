"""What a request says of its prompt: parts in order, shared ones first, the last its own."""

from __future__ import annotations

import msgspec

SHARED_LONG = 1024  # tokens from which on shared parts have homes: what a decode backend reads in one piece


class Prompt(msgspec.Struct, frozen=True):
    """Tokens in and out, and the parts as (id, tokens)."""

    tokens: int = 0
    out: int = 0
    parts: tuple[tuple[str, int], ...] = ()

    @property
    def shared(self) -> tuple[tuple[str, int], ...]:
        """The parts that other requests may have too."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Tokens of the shared parts."""
        return sum(size for _, size in self.shared)

    @property
    def home_key(self) -> str:
        """The id of the deepest shared part where the shared ones are long, else nothing."""
        return self.parts[-2][0] if self.shared_tokens >= SHARED_LONG else ""


def read(headers: dict[str, str]) -> Prompt:
    """Read ``X-Token-Counts`` and ``X-Prompt-Prefix`` (names in lower case); what can't be read counts as nothing."""
    tokens = out = 0
    try:
        counts = headers.get("x-token-counts", "")
        if counts:
            tokens, out = (int(part) for part in counts.split(",")[:2])
        parts: list[tuple[str, int]] = []
        for part in filter(None, headers.get("x-prompt-prefix", "").split(",")):
            name, _, size = part.partition(":")
            parts.append((name.strip(), int(size)))
    except ValueError:
        return Prompt(max(tokens, 0), max(out, 0))
    return Prompt(max(tokens, sum(size for _, size in parts)), out, tuple(parts))
