"""Which backend keeps which parts of prompts, as far as this proxy knows; bounded in tokens for each backend.

A part counts as kept only if every part before it is kept as well, as at the backends. The view is a guess: what other
proxies don't tell of pushes parts out that this one thinks are kept, so it holds less than a backend's memory.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

CACHE_SHARE = 0.8  # of a backend's memory: the rest is for what runs
PREFILL_CACHE_SHARE = 1.0  # of a prefill backend's: nothing runs there for long, and a part missed is read once more
MAX_ENTRIES = 4096  # parts a backend, whatever their size


class _Entry(msgspec.Struct, frozen=True, gc=False):
    """What one part takes. ``is_prefix``: all that comes before it is kept as well, and counted in its tokens."""

    tokens: int
    is_prefix: bool


class _Kept:
    """Parts of one backend, the longest unused first."""

    __slots__ = ("entries", "tokens")

    def __init__(self) -> None:
        self.entries: OrderedDict[str, _Entry] = OrderedDict()
        self.tokens = 0

    def put(self, name: str, entry: _Entry) -> None:
        old = self.entries.pop(name, None)
        self.tokens += entry.tokens - (old.tokens if old is not None else 0)
        self.entries[name] = entry

    def trim(self, max_tokens: float) -> None:
        while self.entries and (self.tokens > max_tokens or len(self.entries) > MAX_ENTRIES):
            self.tokens -= self.entries.popitem(last=False)[1].tokens


class CacheView:
    """Parts by backend."""

    def __init__(self) -> None:
        self._kept: dict[str, _Kept] = {}

    def cached_tokens(self, backend: str, parts: tuple[tuple[str, int], ...]) -> int:
        """Tokens at the start of these parts that the backend is thought to keep."""
        held = self._kept.get(backend)
        if held is None:
            return 0
        total = before = 0
        whole = True
        for name, size in parts:
            before += size
            entry = held.entries.get(name)
            whole = entry is not None and (whole or entry.is_prefix)
            if whole:
                total = before
        return total

    def record_prefix(self, backend: str, part: str, tokens: int, max_tokens: int, share: float = CACHE_SHARE) -> None:
        """Another proxy had the backend read a prompt up to and with this part; ``max_tokens``: tokens of the backend's
        memory, of which ``share`` is for parts."""
        held = self._kept.setdefault(backend, _Kept())
        held.put(part, _Entry(tokens, is_prefix=True))
        held.trim(max_tokens * share)

    def touch(
        self, backend: str, parts: tuple[tuple[str, int], ...], max_tokens: int, share: float = CACHE_SHARE
    ) -> None:
        """Record that the backend has just read or fetched these parts. ``max_tokens``: its memory, of which ``share``
        is for cached parts."""
        held = self._kept.setdefault(backend, _Kept())
        for name, size in parts:
            held.put(name, held.entries.get(name) or _Entry(size, is_prefix=False))
        held.trim(max_tokens * share)

    def forget(self, backend: str) -> None:
        """The backend has ended."""
        self._kept.pop(backend, None)
