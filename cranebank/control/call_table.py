"""Bounded table of the operators' applied calls, replicated with the configuration, to deduplicate repeated calls.

An operator whose answer was lost repeats the call, to any controller, maybe after a takeover, a restart of all
controllers or hundreds of other changes. The table is part of the replicated value: it is durable exactly where the
configuration that a call produced is durable, so every later primary gives a repeated call the same answer. It holds
the newest ``MAX_CALLS`` calls; whether an older call was applied is unknown, so it is never answered by a refusal.
"""

from __future__ import annotations

import msgspec

from cranebank.transport.revision import NO_REVISION, Revision

MAX_CALLS = 1024
"""Entries of at most 28 bytes on the wire and on disk for revisions of 64 bits, 28 KiB in total (of at most 74 bytes
and 74 KiB for longer ones); 3 hours of calls at 7,800 changes a day."""


class AppliedCall(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An applied call: the revision that it put in force, and the digest (16 bytes) of call, base revision and body."""

    revision: Revision
    digest: bytes


class CallTable(msgspec.Struct, frozen=True, array_like=True):
    """The newest calls, oldest first. ``forgotten`` is the highest revision whose call was evicted, 0 for none."""

    calls: tuple[AppliedCall, ...] = ()
    forgotten: Revision = NO_REVISION

    def with_call(self, revision: Revision, digest: bytes) -> CallTable:
        """Return the table with one more call, whose revision must be above all others."""
        calls = (*self.calls, AppliedCall(revision, digest))
        surplus = len(calls) - MAX_CALLS
        if surplus <= 0:
            return CallTable(calls, self.forgotten)
        return CallTable(calls[surplus:], calls[surplus - 1].revision)

    def revision_of(self, digest: bytes) -> Revision | None:
        """Return the revision that this call put in force, None when the call is not in the table."""
        return next((call.revision for call in reversed(self.calls) if call.digest == digest), None)

    def may_be_forgotten(self, revision: int) -> bool:
        """Return whether a call with this revision may have been applied and evicted from the table."""
        return revision <= self.forgotten


EMPTY_TABLE = CallTable()
