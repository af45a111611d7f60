"""This proxy's view of which backend caches which parts of prompts, bounded in tokens for each backend.

As at the backends, a part counts as cached only if every part before it is. The view is an estimate: prefills that
other proxies do not report evict parts that count as cached here, so it assumes less than a backend's memory.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

CACHE_SHARE = 0.8  # share of a backend's memory; the rest is for running requests
# The same for prefill backends, where nothing runs for long and a missed part is only read again
PREFILL_CACHE_SHARE = 1.0
MAX_ENTRIES = 4096  # parts of one backend, whatever their size


class _Entry(msgspec.Struct, frozen=True, gc=False):
    """One part. ``is_prefix``: all parts before it are cached as well, and counted in its tokens."""

    tokens: int
    is_prefix: bool


class _CachedParts:
    """The cached parts of one backend, least recently used first."""

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
    """The cached parts by backend."""

    def __init__(self) -> None:
        self._by_backend: dict[str, _CachedParts] = {}

    def cached_tokens(self, backend: str, parts: tuple[tuple[str, int], ...]) -> int:
        """Return how many tokens at the start of these parts the backend is expected to hold in its cache."""
        cached = self._by_backend.get(backend)
        if cached is None:
            return 0
        total = before = 0
        whole = True
        for name, size in parts:
            before += size
            entry = cached.entries.get(name)
            whole = entry is not None and (whole or entry.is_prefix)
            if whole:
                total = before
        return total

    def record_prefix(self, backend: str, part: str, tokens: int, max_tokens: int, share: float = CACHE_SHARE) -> None:
        """Record that another proxy had the backend read a prompt up to and including this part. ``max_tokens``: the
        backend's memory, of which ``share`` is for cached parts."""
        cached = self._by_backend.setdefault(backend, _CachedParts())
        cached.put(part, _Entry(tokens, is_prefix=True))
        cached.trim(max_tokens * share)

    def touch(
        self, backend: str, parts: tuple[tuple[str, int], ...], max_tokens: int, share: float = CACHE_SHARE
    ) -> None:
        """Record that the backend has just read or fetched these parts. ``max_tokens``: its memory, of which ``share``
        is for cached parts."""
        cached = self._by_backend.setdefault(backend, _CachedParts())
        for name, size in parts:
            cached.put(name, cached.entries.get(name) or _Entry(size, is_prefix=False))
        cached.trim(max_tokens * share)

    def forget(self, backend: str) -> None:
        """Forget a backend that has ended."""
        self._by_backend.pop(backend, None)
