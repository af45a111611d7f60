"""Classifies a backend's answer: a success, a failure, or a statement that the request did not run."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto

import msgspec

from cranebank.dataplane.events_stream import EVENT_STREAM_TYPE

SEAL = "x-server-seal"
NOT_RUN_MARK = "x-not-run"
MISDIRECTED = 421  # sent by a backend that is another one or has another stage than the call expects
REJECTIONS = frozenset({MISDIRECTED, 429, 503})  # with the mark; 421 needs none
# To a client these mean that the request has not run and never will
NOT_RUN_STATUSES = frozenset({408, MISDIRECTED, 429, 503})


class AnswerKind(Enum):
    """The kind of one answer, by its head alone."""

    SEALED = auto()  # a success of that backend
    UNSEALED = auto()  # a success without that backend's seal, so not its answer
    REJECTED = auto()  # the backend states that it did not run the request
    UNPROVEN = auto()  # a status that means to a client that nothing ran, without the backend's statement
    FAILED = auto()  # any other


def kind_of(status: int, headers: Mapping[str, str]) -> AnswerKind:
    """Return the kind of an answer by its status and headers; header names are in lower case."""
    if 200 <= status < 300:
        return AnswerKind.SEALED if SEAL in headers else AnswerKind.UNSEALED
    if status in REJECTIONS and (status == MISDIRECTED or NOT_RUN_MARK in headers):
        return AnswerKind.REJECTED
    return AnswerKind.UNPROVEN if status in NOT_RUN_STATUSES else AnswerKind.FAILED


def is_event_stream(headers: Mapping[str, str], *, by_default: bool) -> bool:
    """Return whether an answer's body is a stream of events; ``by_default`` applies where it states no type."""
    content_type = headers.get("content-type")
    if content_type is None:
        return by_default
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM_TYPE


class _Reading(msgspec.Struct):
    prompt_handle: str = ""


def handle_in(body: bytes) -> str:
    """Return the handle in the answer to a prefill; empty if it has none."""
    try:
        return msgspec.json.decode(body, type=_Reading).prompt_handle
    except msgspec.MsgspecError:
        return ""
