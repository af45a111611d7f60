"""Parsing and validation of the operator's configurations: pure functions over bytes.

A configuration is kept as the operator sent it: unknown fields are neither checked nor dropped, since the schema may
grow. Only faults that make a configuration unusable are refused, with a typed error that names the key.
"""

from __future__ import annotations

import hashlib
import math
from typing import Any

import msgspec
import voluptuous as vol

from cranebank.dataplane.routes import read_document
from cranebank.transport.revision import MAX_REVISION, MAX_REVISION_DIGITS, NO_REVISION, Revision

DIGEST_BYTES = 16
PERSON_BYTES = hashlib.blake2b.PERSON_SIZE
SLOW_BYTES = 100_000  # larger bodies are validated in a thread, as the check would block the event loop for too long

_decoder = msgspec.json.Decoder()
_encoder = msgspec.json.Encoder()

Document = dict[str, Any]


class InvalidConfiguration(Exception):
    """Raised for an unusable configuration: ``code`` names the fault, ``key`` its place, ``expected`` a valid value."""

    def __init__(self, code: str, key: str, expected: str) -> None:
        super().__init__(f"{code}: {key}: expected {expected}")
        self.code, self.key, self.expected = code, key, expected


class Configuration(msgspec.Struct, frozen=True):
    """A complete, validated configuration; ``document`` is its JSON."""

    revision: Revision
    document: bytes


class _Fault(vol.Invalid):  # type: ignore[misc,unused-ignore]
    """A validation error with its own code, raised by the validators below."""

    def __init__(self, code: str, expected: str, path: list[object] | None = None) -> None:
        super().__init__(f"expected {expected}", path)
        self.code, self.expected = code, expected


def _is_number(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def _revision(value: object) -> Revision:
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= MAX_REVISION:
        raise _Fault("revision", f"an integer from 0, of at most {MAX_REVISION_DIGITS} digits")
    return Revision(value)


def _name(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise _Fault("name", "a name, as a string")
    return value


def _prefix(value: object) -> str:
    if not isinstance(value, str) or not value.startswith("/") or not value.endswith("/"):
        raise _Fault("path_prefix", "a path that begins and ends with a slash")
    return value


def _timeout(value: object) -> object:
    if not _is_number(value) or not value > 0:  # type: ignore[operator]
        raise _Fault("timeout_ms", "a number above 0")
    return value


def _share(value: object) -> object:
    if not _is_number(value) or value < 0:  # type: ignore[operator]
        raise _Fault("share", "a number, 0 or more")
    return value


def _with_unique_names(values: list[Document]) -> list[Document]:
    seen: set[str] = set()
    for index, value in enumerate(values):
        if value["name"] in seen:
            raise _Fault("name_twice", "a name used once in its list", [index, "name"])
        seen.add(value["name"])
    return values


_BRANCH = vol.Schema({vol.Required("target"): _name, vol.Required("share"): _share}, extra=vol.ALLOW_EXTRA)
_ROUTE = vol.Schema(
    {
        vol.Required("name"): _name,
        vol.Required("hostname"): _name,
        vol.Required("path_prefix"): _prefix,
        "timeout_ms": _timeout,
        "target": _name,
        "branches": [_BRANCH],
    },
    extra=vol.ALLOW_EXTRA,
)
_SERVICE = vol.Schema({vol.Required("name"): _name}, extra=vol.ALLOW_EXTRA)
_CONFIGURATION = vol.Schema(
    {
        vol.Required("revision"): _revision,
        vol.Required("routes"): vol.All([_ROUTE], _with_unique_names),
        vol.Required("services"): vol.All([_SERVICE], _with_unique_names),
        "limits": dict,
    },
    extra=vol.ALLOW_EXTRA,
)
_ITEM = vol.Schema({vol.Required("name"): _name}, extra=vol.ALLOW_EXTRA)
_AMENDMENT = vol.Schema(
    {
        vol.Required("revision"): _revision,
        "upsert": {str: vol.All([_ITEM], _with_unique_names)},
        "remove": {str: [_name]},
    },
    extra=vol.ALLOW_EXTRA,
)


def _key(path: list[object]) -> str:
    text = ""
    for step in path:
        text += f"[{step}]" if isinstance(step, int) else f".{step}" if text else str(step)
    return text


def _validate(schema: Any, value: object) -> None:
    try:
        schema(value)
    except vol.MultipleInvalid as error:
        first = error.errors[0]
        code, expected = getattr(first, "code", ""), getattr(first, "expected", "")
        if not code:
            code = "missing" if "required" in first.error_message else "shape"
            expected = "the key" if code == "missing" else first.error_message
        raise InvalidConfiguration(
            code, _key([str(step) if isinstance(step, vol.Marker) else step for step in first.path]), expected
        ) from None


def _read(body: bytes) -> Document:
    try:
        value = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidConfiguration("unreadable", "", f"JSON: {error}") from None
    if not isinstance(value, dict):
        raise InvalidConfiguration("unreadable", "", "an object")
    return value


def _check_shares(branches: list[Document], key: str) -> None:
    total = sum(float(branch["share"]) for branch in branches)
    if not total > 0:
        raise InvalidConfiguration("no_share", key, "shares with a sum above 0")
    if not math.isfinite(total):
        raise InvalidConfiguration("share", key, "shares with a finite sum")


def _check_routes(document: Document) -> None:
    services = {service["name"] for service in document["services"]}
    hosts_and_prefixes: set[tuple[str, str]] = set()
    for index, route in enumerate(document["routes"]):
        key = f"routes[{index}]"
        if "target" in route:
            if route["target"] not in services:
                raise InvalidConfiguration("unknown_service", f"{key}.target", "the name of a service")
        elif "branches" not in route:
            raise InvalidConfiguration("missing", f"{key}.target", "a target or branches")
        if "branches" in route:
            for branch_index, branch in enumerate(route["branches"]):
                if branch["target"] not in services:
                    raise InvalidConfiguration(
                        "unknown_service", f"{key}.branches[{branch_index}].target", "the name of a service"
                    )
            if route["branches"] or "target" not in route:
                _check_shares(route["branches"], f"{key}.branches")
        host_and_prefix = (route["hostname"].lower(), route["path_prefix"])
        if host_and_prefix in hosts_and_prefixes:
            raise InvalidConfiguration("route_twice", f"{key}.path_prefix", "one route for a host and prefix")
        hosts_and_prefixes.add(host_and_prefix)


def _check_readable(body: bytes) -> None:
    """Check that proxies can read the configuration."""
    try:
        read_document(body)
    except msgspec.MsgspecError as error:
        expected, _, key = str(error).partition(" - at `$.")
        raise InvalidConfiguration("shape", key.rstrip("`"), expected.removeprefix("Expected ")) from None


def _check_whole(document: Document, body: bytes, current_revision: int) -> Configuration:
    _validate(_CONFIGURATION, document)
    _check_readable(body)
    _check_routes(document)
    return Configuration(_check_revision_rises(document["revision"], current_revision), body)


def _check_revision_rises(revision: int, current_revision: int) -> Revision:
    if revision <= current_revision:
        raise InvalidConfiguration("revision", "revision", f"an integer above {current_revision}")
    return Revision(revision)


def check(body: bytes, current_revision: int) -> Configuration:
    """Validate a complete configuration as the operator sent it. Raises InvalidConfiguration."""
    return _check_whole(_read(body), body, current_revision)


def _named_items(values: object, key: str) -> list[Document]:
    if not isinstance(values, list):
        raise InvalidConfiguration("shape", key, "a list of named items")
    for index, value in enumerate(values):
        if not isinstance(value, dict) or not isinstance(value.get("name"), str):
            raise InvalidConfiguration("shape", f"{key}[{index}]", "an item with a name")
    return values


def amend(current_document: bytes, body: bytes) -> Configuration:
    """Return the current configuration with named items added, replaced in place or removed, validated as a whole.

    Raises InvalidConfiguration.
    """
    amendment = _read(body)
    _validate(_AMENDMENT, amendment)
    document = _read(current_document)
    current_revision: int = document["revision"]
    for key, names in amendment.get("remove", {}).items():
        gone = set(names)
        document[key] = [item for item in _named_items(document.get(key, []), key) if item["name"] not in gone]
    for key, items in amendment.get("upsert", {}).items():
        fresh = {item["name"]: item for item in items}
        document[key] = [fresh.pop(item["name"], item) for item in _named_items(document.get(key, []), key)]
        document[key] += fresh.values()
    document["revision"] = amendment["revision"]
    return _check_whole(document, _encoder.encode(document), current_revision)


def revision_of(body: bytes) -> Revision:
    """Return the revision that a call names, NO_REVISION if it is unreadable; used only to recognise repeated calls."""
    try:
        return _revision(_read(body).get("revision"))
    except (InvalidConfiguration, _Fault):
        return NO_REVISION


def digest_of(call: str, base: int, body: bytes) -> bytes:
    """Return the digest by which an unchanged repetition of a call is recognised."""
    text = f"{call[:4]}{base}".encode()
    digest = hashlib.blake2b(text[PERSON_BYTES:], digest_size=DIGEST_BYTES, person=text[:PERSON_BYTES])
    digest.update(body)
    return digest.digest()
