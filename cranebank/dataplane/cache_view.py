"""Which backend keeps which parts of prompts, as far as this proxy knows; bounded in tokens for each backend.

A part counts as kept only if every part before it is kept as well, as at the backends. The view is a guess: other
proxies' requests push parts out that this one has seen, so it holds less than a backend's memory.
"""

from __future__ import annotations

from collections import OrderedDict

KEPT_SHARE = 0.8  # of a backend's memory: the rest is for what runs
ENTRIES = 4096  # parts a backend, whatever their size
NOTED = 256  # notes of neighbours a backend
_NONE: OrderedDict[str, int] = OrderedDict()


class CacheView:
    """Parts by backend, the longest unused first."""

    def __init__(self) -> None:
        self._kept: dict[str, OrderedDict[str, int]] = {}
        self._tokens: dict[str, int] = {}
        self._noted: dict[str, OrderedDict[str, int]] = {}  # from neighbours: last shared part, and tokens up to it

    def kept(self, backend: str, parts: tuple[tuple[str, int], ...]) -> int:
        """Tokens at the start of these parts that the backend is thought to keep."""
        held, noted = self._kept.get(backend, _NONE), self._noted.get(backend, _NONE)
        total = before = 0
        whole = True
        for name, size in parts if held or noted else ():
            before += size
            whole = name in noted or (whole and name in held)
            if whole:
                total = before
            elif not noted:
                break
        return total

    def note(self, backend: str, part: str, tokens: int, most: int) -> None:
        """A neighbour had the backend read a prompt up to and with this part; ``most``: tokens of its memory."""
        noted = self._noted.setdefault(backend, OrderedDict())
        noted[part] = tokens
        noted.move_to_end(part)
        while noted and (sum(noted.values()) > most * KEPT_SHARE or len(noted) > NOTED):
            noted.popitem(last=False)

    def touch(self, backend: str, parts: tuple[tuple[str, int], ...], most: int) -> None:
        """The backend has just read or fetched these parts; ``most``: tokens of its memory."""
        held = self._kept.setdefault(backend, OrderedDict())
        total = self._tokens.get(backend, 0)
        for name, size in parts:
            if name in held:
                held.move_to_end(name)
            else:
                held[name] = size
                total += size
        while held and (total > most * KEPT_SHARE or len(held) > ENTRIES):
            total -= held.popitem(last=False)[1]
        self._tokens[backend] = total

    def forget(self, backend: str) -> None:
        """The backend has ended."""
        self._kept.pop(backend, None)
        self._tokens.pop(backend, None)
        self._noted.pop(backend, None)
