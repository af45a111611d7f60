"""What a backend's answer says of the request: whether it is a success, a failure, or a promise that nothing ran."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto

import msgspec

SEAL = "x-server-seal"
NOT_RUN_MARK = "x-not-run"
MISDIRECTED = 421  # this is another backend, or it does other work than it was sent
REJECTIONS = frozenset({MISDIRECTED, 429, 503})  # with the mark; 421 says it by itself
NOT_RUN_STATUSES = frozenset(
    {408, MISDIRECTED, 429, 503}
)  # to a client these say that the request has not run and never will


class AnswerKind(Enum):
    """Of one answer, by its head alone."""

    SEALED = auto()  # a success of that backend
    UNSEALED = auto()  # a success without its seal, which is no answer of that backend
    REJECTED = auto()  # the backend says that it did not run the request
    UNPROVEN = auto()  # a status that promises a client that nothing ran, without the backend's word for it
    FAILED = auto()  # any other


def kind_of(status: int, headers: Mapping[str, str]) -> AnswerKind:
    """The kind of an answer with this status and these headers, named in lower case."""
    if 200 <= status < 300:
        return AnswerKind.SEALED if SEAL in headers else AnswerKind.UNSEALED
    if status in REJECTIONS and (status == MISDIRECTED or NOT_RUN_MARK in headers):
        return AnswerKind.REJECTED
    return AnswerKind.UNPROVEN if status in NOT_RUN_STATUSES else AnswerKind.FAILED


class _Reading(msgspec.Struct):
    prompt_handle: str = ""


def handle_in(body: bytes) -> str:
    """The handle in the answer of a reading; empty where there is none."""
    try:
        return msgspec.json.decode(body, type=_Reading).prompt_handle
    except msgspec.MsgspecError:
        return ""
