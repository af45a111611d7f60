"""Why a call to a backend failed: whether any byte of it can have been sent."""

from __future__ import annotations

from enum import Enum


class SendEvidence(Enum):
    """Why a call ended without a complete answer, as far as it decides whether the request may be sent again.

    Only a failure before the first byte was written proves that nothing ran. A reset, a close or a damaged answer after
    that proves nothing, not even on a kept connection that the backend had already closed: a backend that crashes after
    it has read the request causes the same reset.
    """

    NEVER_CONNECTED = "never_connected"  # no connection was established
    NO_CONNECTION_FREE = "no_connection_free"  # no connection was idle, and no more may be opened
    CLOSED_BEFORE_SEND = "closed_before_send"  # a new connection ended before the request was written to it
    BACKEND_WITHDRAWN = "backend_withdrawn"  # the backend stopped being available while a connection was being opened
    WRITTEN = "written"  # bytes of the request were written to the connection

    @property
    def may_have_run(self) -> bool:
        """Return whether the backend may have received the request."""
        return self is SendEvidence.WRITTEN
