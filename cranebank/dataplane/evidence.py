"""What is known about a call to a backend that came to nothing: whether its bytes can have left this process."""

from __future__ import annotations

from enum import Enum


class SendEvidence(Enum):
    """Why a call ended without a whole answer, as far as it matters for sending its request again.

    Only what happened before the first byte was written proves that nothing ran. A reset, a close or a damaged answer
    after that proves nothing, not even on a kept connection that the backend had already forgotten: the same reset is
    seen where a backend crashed after it had read the request.
    """

    NEVER_CONNECTED = "never_connected"  # no connection came up
    NO_CONNECTION_FREE = "no_connection_free"  # none was idle, and none more may be opened
    CLOSED_BEFORE_SEND = "closed_before_send"  # a new connection had ended before the request was written to it
    BACKEND_WITHDRAWN = "backend_withdrawn"  # the backend left the ready list while a connection was being opened
    WRITTEN = "written"  # bytes of the request were handed to the connection

    @property
    def may_have_run(self) -> bool:
        """Whether the backend may have got the request."""
        return self is SendEvidence.WRITTEN
