"""What a request's headers state about its prompt: its parts in order, shared ones first, its own part last."""

from __future__ import annotations

import msgspec

MAX_TOKENS = 2**40  # of one count or part: sums over a header and over all open calls then fit a message's 64 bits
SHARED_LONG = 1024  # tokens from which a shared prefix has a home: what a decode backend prefills in one chunk


class Prompt(msgspec.Struct, frozen=True):
    """Input and output tokens, and the parts as (id, tokens)."""

    tokens: int = 0
    out: int = 0
    parts: tuple[tuple[str, int], ...] = ()

    @property
    def shared(self) -> tuple[tuple[str, int], ...]:
        """Return the parts that other requests may have in common."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Return the tokens of the shared parts."""
        return sum(size for _, size in self.shared)

    @property
    def home_key(self) -> str:
        """Return the id of the last shared part if the shared prefix is long, otherwise an empty string."""
        return self.parts[-2][0] if self.shared_tokens >= SHARED_LONG else ""


def _token_count(text: str) -> int:
    """Parse a number of tokens. Raises ValueError."""
    count = int(text)
    if not 0 <= count <= MAX_TOKENS:
        raise ValueError(f"expected 0 to {MAX_TOKENS} tokens")
    return count


def read(headers: dict[str, str]) -> Prompt:
    """Parse ``X-Token-Counts`` and ``X-Prompt-Prefix`` (names in lower case); what cannot be parsed counts as
    nothing."""
    tokens = out = 0
    try:
        counts = headers.get("x-token-counts", "")
        if counts:
            tokens, out = (_token_count(part) for part in counts.split(",")[:2])
        parts: list[tuple[str, int]] = []
        for part in filter(None, headers.get("x-prompt-prefix", "").split(",")):
            name, _, size = part.partition(":")
            parts.append((name.strip(), _token_count(size)))
    except ValueError:
        return Prompt(tokens, out)
    return Prompt(max(tokens, sum(size for _, size in parts)), out, tuple(parts))
