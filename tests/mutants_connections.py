"""Planted faults of connections to backends: slow and lost peers, paused reading, and how answers end."""

from __future__ import annotations

from mutant import Mutant, Point

CONNECTION_MUTANTS = (
    Mutant(
        Point.RIGHT_CALLER,
        "a backend that is slow to read a request counts as gone after a second",
        "transport/send_watch.py",
        "        if state is SendState.STALLED:",
        "        if False:",
        "test_slow_backends.py::test_a_backend_that_reads_a_long_body_late_is_waited_for",
    ),
    Mutant(
        Point.RIGHT_CALLER,
        "a backend whose window was closed is never given up",
        "transport/send_watch.py",
        "        if silent_s < PEER_SILENCE_S:",
        "        if True:",
        "test_slow_backends.py::test_a_peer_that_falls_silent_after_a_stall_is_gone "
        "test_slow_backends.py::test_a_backend_whose_machine_is_gone_is_noticed",
    ),
    Mutant(
        Point.RIGHT_CALLER,
        "a backend that acknowledges nothing with an open window counts as slow to read",
        "transport/send_watch.py",
        "            if not info.is_window_closed:",
        "            if False:",
        "test_slow_backends.py::test_a_silent_peer_with_an_open_window_gets_no_more_time",
    ),
    Mutant(
        Point.RIGHT_CALLER,
        "fields that the kernel doesn't fill in count as a closed window",
        "transport/tcp_info.py",
        "if received else None",
        "",
        "test_slow_backends.py::test_a_kernel_that_counts_no_segments_leaves_the_timeout_as_it_is",
    ),
    Mutant(
        Point.RIGHT_CALLER,
        "a request counts as sent while its rest waits in this process",
        "dataplane/backend_connections.py",
        "return state is not SendState.ACKNOWLEDGED or self.transport.get_write_buffer_size() > 0",
        "return state is not SendState.ACKNOWLEDGED",
        "test_slow_backends.py::test_a_request_of_which_the_kernel_holds_nothing_for_a_moment_is_still_looked_at",
    ),
    Mutant(
        Point.RIGHT_CALLER,
        "a connection is kept while the kernel still holds part of its last request",
        "dataplane/backend_connections.py",
        'return not unacknowledged_bytes(transport.get_extra_info("socket"))',
        "return True",
        "test_call_faults.py::test_an_early_answer_closes_a_connection_whose_request_is_still_being_sent",
    ),
    Mutant(
        Point.RIGHT_CALLER,
        "a connection is kept with its reading paused",
        "dataplane/backend_connections.py",
        "                self.pause(False)  #",
        "                #",
        "test_paused_reading.py",
    ),
    Mutant(
        Point.RIGHT_CALLER,
        "a stream without a length that ends within an event is complete",
        "dataplane/exchange.py",
        "if by_close and self._is_torn(leg):",
        "if False:",
        "test_torn_streams.py",
    ),
    Mutant(
        Point.RIGHT_CALLER,
        "a stream that its last chunk ends within an event counts as lost",
        "dataplane/exchange.py",
        "if by_close and self._is_torn(leg):",
        "if self._is_torn(leg):",
        "test_torn_streams.py::test_an_answer_that_may_be_whole_is_passed_on_whole",
    ),
    Mutant(
        Point.RIGHT_CALLER,
        "an answer of another type that a close ends counts as lost",
        "dataplane/exchange.py",
        "return leg.answering and is_stream and not",
        "return leg.answering and not",
        "test_torn_streams.py::test_an_answer_that_may_be_whole_is_passed_on_whole",
    ),
    Mutant(
        Point.RIGHT_CALLER,
        "a stream without a length that ends before its first event is complete",
        "dataplane/client_answer.py",
        "return self.is_begun or self.last_event_id is not None",
        "return True",
        "test_torn_streams.py::test_a_stream_that_ends_before_its_first_event_is_not_complete",
    ),
    Mutant(
        Point.RIGHT_CALLER,
        "a resumed stream of which nothing was left counts as lost",
        "dataplane/client_answer.py",
        "return self.is_begun or self.last_event_id is not None",
        "return False",
        "test_torn_streams.py::test_a_resumed_stream_of_which_nothing_was_left_is_complete",
    ),
    Mutant(
        Point.RIGHT_CALLER,
        "a byte of an event is passed on with the blank lines before it",
        "dataplane/events_stream.py",
        "return 0 if at < 0 else at + len(part)",
        "return at + len(part)",
        "test_exchange.py::test_blank_lines_ahead_of_an_event_take_no_byte_of_it",
    ),
)
