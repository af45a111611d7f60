"""Parsing, validation and amendment of the operator's configurations."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranebank.control.configuration import InvalidConfiguration, amend, check, digest_of, revision_of
from cranebank.dataplane.routes import RouteTable

Document = dict[str, Any]


def route(name: str = "r-1", **changes: Any) -> Document:
    """Return a route as in the operator's guide."""
    return {
        "name": name,
        "hostname": f"{name}.example",
        "path_prefix": "/a/",
        "variant": "streaming",
        "timeout_ms": 3000,
        "goal_ms": 300,
        "rank": 0,
        "target": "s-1",
        "tries": 2,
        **changes,
    }


def document(**changes: Any) -> Document:
    """Return a small complete configuration."""
    split = route("r-2", branches=[{"target": "s-1", "share": 90}, {"target": "s-2", "share": 10}])
    del split["target"]
    return {
        "revision": 7,
        "routes": [route(), split],
        "services": [{"name": "s-1"}, {"name": "s-2"}],
        "limits": {"header_bytes": 16384},
        **changes,
    }


def body(value: object) -> bytes:
    """Return the value as a request body."""
    return json.dumps(value).encode()


def broken(change: Callable[[Document], object]) -> bytes:
    """Return a configuration with one fault."""
    value = document()
    change(value)
    return body(value)


@pytest.mark.parametrize(
    ("sent", "code", "key"),
    [
        (body(document())[:-9], "unreadable", ""),
        (b"[]", "unreadable", ""),
        (b'{"revision": 7, "routes": [\xff]}', "unreadable", ""),
        (broken(lambda d: d.pop("routes")), "missing", "routes"),
        (broken(lambda d: d.pop("services")), "missing", "services"),
        (broken(lambda d: d.pop("revision")), "missing", "revision"),
        (broken(lambda d: d.update(routes={})), "shape", "routes"),
        (broken(lambda d: d.update(revision="8")), "revision", "revision"),
        (broken(lambda d: d.update(revision=8.5)), "revision", "revision"),
        (broken(lambda d: d.update(revision=True)), "revision", "revision"),
        (broken(lambda d: d.update(revision=5)), "revision", "revision"),
        (broken(lambda d: d.update(revision=4)), "revision", "revision"),
        (broken(lambda d: d["routes"][0].update(target="s-9")), "unknown_service", "routes[0].target"),
        (
            broken(lambda d: d["routes"][1]["branches"][1].update(target="s-9")),
            "unknown_service",
            "routes[1].branches[1].target",
        ),
        (broken(lambda d: d["routes"][1]["branches"].clear()), "no_share", "routes[1].branches"),
        (broken(lambda d: [b.update(share=0) for b in d["routes"][1]["branches"]]), "no_share", "routes[1].branches"),
        (broken(lambda d: d["routes"][1]["branches"][0].update(share=-1)), "share", "routes[1].branches[0].share"),
        (broken(lambda d: d["routes"][1].pop("branches")), "missing", "routes[1].target"),
        (broken(lambda d: d["routes"][1].update(hostname="R-1.example")), "route_twice", "routes[1].path_prefix"),
        (broken(lambda d: d["routes"][0].update(timeout_ms=0)), "timeout_ms", "routes[0].timeout_ms"),
        (broken(lambda d: d["routes"][0].update(timeout_ms=-5)), "timeout_ms", "routes[0].timeout_ms"),
        (broken(lambda d: d["routes"][0].update(timeout_ms="3000")), "timeout_ms", "routes[0].timeout_ms"),
        (broken(lambda d: d["routes"][0].update(timeout_ms=None)), "timeout_ms", "routes[0].timeout_ms"),
        (broken(lambda d: d["routes"][0].update(name=3)), "name", "routes[0].name"),
        (broken(lambda d: d["routes"][1].update(name="r-1")), "name_twice", "routes[1].name"),
        (broken(lambda d: d["services"][1].update(name="s-1")), "name_twice", "services[1].name"),
        (broken(lambda d: d["services"][1].pop("name")), "missing", "services[1].name"),
        (broken(lambda d: d["routes"][0].update(path_prefix="a/")), "path_prefix", "routes[0].path_prefix"),
        (broken(lambda d: d["routes"][0].update(path_prefix="/a")), "path_prefix", "routes[0].path_prefix"),
        (broken(lambda d: d["routes"][0].pop("path_prefix")), "missing", "routes[0].path_prefix"),
        (broken(lambda d: d["routes"][0].pop("hostname")), "missing", "routes[0].hostname"),
    ],
)
def test_invalid(sent: bytes, code: str, key: str) -> None:
    """Each kind of unusable configuration is refused with an error that names the key."""
    with pytest.raises(InvalidConfiguration) as caught:
        check(sent, 5)
    assert (caught.value.code, caught.value.key) == (code, key)
    assert caught.value.expected


def test_what_was_sent_is_kept() -> None:
    """Unknown fields are kept at any depth, and the document is what the operator sent."""
    value = document(walls=[{"name": "w"}], note=1.5)
    value["routes"][0]["later"] = {"deep": [1, None, "ü"]}
    found = check(body(value), 5)
    assert found.revision == 7
    assert json.loads(found.document) == value


def test_a_route_of_root_and_equal_prefixes_of_two_hosts() -> None:
    """A single slash is a valid prefix, and two hosts may use the same prefix."""
    check(body(document(routes=[route("a", path_prefix="/"), route("b", path_prefix="/")])), 0)


def test_amend() -> None:
    """Items are replaced in place, added at the end and removed by name; all others stay unchanged."""
    before = document(walls=[{"name": "w", "x": 1}])
    changed, added = route("r-1", timeout_ms=9), route("r-3")
    found = amend(
        body(before),
        body(
            {
                "revision": 9,
                "upsert": {"routes": [added, changed], "keys": [{"name": "k"}]},
                "remove": {"routes": ["r-2", "r-none"], "services": ["s-2"]},
            }
        ),
    )
    assert found.revision == 9
    assert json.loads(found.document) == {
        "revision": 9,
        "routes": [changed, added],
        "services": [{"name": "s-1"}],
        "limits": {"header_bytes": 16384},
        "walls": [{"name": "w", "x": 1}],
        "keys": [{"name": "k"}],
    }


@pytest.mark.parametrize(
    ("sent", "code"),
    [
        ({"revision": 7}, "revision"),
        ({"revision": 9, "remove": {"services": ["s-1"]}}, "unknown_service"),
        ({"revision": 9, "upsert": {"routes": [route("r-3", hostname="r-1.example")]}}, "route_twice"),
        ({"revision": 9, "upsert": {"routes": [{"hostname": "x"}]}}, "missing"),
        ({"revision": 9, "upsert": {"routes": {"name": "x"}}}, "shape"),
        ({"revision": 9, "upsert": {"limits": [{"name": "x"}]}}, "shape"),
        ({"revision": 9, "remove": {"routes": [3]}}, "name"),
        ({"upsert": {}}, "missing"),
    ],
)
def test_invalid_amendments(sent: Document, code: str) -> None:
    """The resulting configuration is validated as a whole."""
    with pytest.raises(InvalidConfiguration) as caught:
        amend(body(document()), body(sent))
    assert caught.value.code == code


def test_many_routes() -> None:
    """Hundreds of routes are accepted in a complete configuration and in an amendment."""
    routes = [route(f"r-{number}") for number in range(400)]
    whole = check(body(document(routes=routes)), 0)
    grown = amend(whole.document, body({"revision": 8, "upsert": {"routes": [route(f"n-{i}") for i in range(400)]}}))
    assert len(json.loads(grown.document)["routes"]) == 800


def test_calls_sent_again_are_known() -> None:
    """The same call has the same digest; another body, base or kind of call has another one."""
    sent = body(document())
    assert digest_of("Replace", 5, sent) == digest_of("Replace", 5, bytes(sent))
    others = {
        digest_of("Replace", 5, sent),
        digest_of("Replace", 6, sent),
        digest_of("Amend", 5, sent),
        digest_of("Replace", 5, sent + b" "),
    }
    assert len(others) == 4
    assert (revision_of(sent), revision_of(b"{"), revision_of(b'{"revision": "x"}')) == (7, 0, 0)


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**53), 2**53)
    | st.text(max_size=5)
    | st.floats(allow_nan=False, allow_infinity=False),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=8,
)


@given(JSON, JSON, st.integers(8, 2**40))
def test_amended_documents_keep_unknown_fields(extra: object, deep: object, revision: int) -> None:
    """The contents of unknown fields pass an amendment unchanged."""
    before = document(**{"x-extra": extra})
    before["routes"][0]["x-deep"] = deep
    found = amend(body(before), body({"revision": revision}))
    assert json.loads(found.document) == {**before, "revision": revision}


@given(st.binary(max_size=60) | JSON.map(body))
def test_nothing_but_typed_refusals(sent: bytes) -> None:
    """Any input is accepted or refused with a typed error."""
    for whole in (True, False):
        try:
            check(sent, 0) if whole else amend(body(document()), sent)
        except InvalidConfiguration as error:
            assert error.code


UNREADABLE: tuple[Callable[[Document], object], ...] = (
    lambda d: d["routes"][0].update(tries="x"),
    lambda d: d["routes"][0].update(rank=1.5),
    lambda d: d["routes"][0].update(gap_aim_ms=None),
    lambda d: d["routes"][0].update(timeout_ms=10**400),
    lambda d: d["services"][0].update(max_conns="many"),
    lambda d: d["limits"].update(idle_ms="long"),
)


@pytest.mark.parametrize("change", UNREADABLE)
def test_a_configuration_that_no_proxy_can_read_is_refused(change: Callable[[Document], object]) -> None:
    """Guards against an acknowledged configuration that is put in force nowhere, and without which no proxy starts."""
    sent = broken(change)
    with pytest.raises(msgspec.MsgspecError) as unreadable:
        RouteTable.read(sent)
    with pytest.raises(InvalidConfiguration) as refused:
        check(sent, 5)
    assert refused.value.key and str(unreadable.value).endswith(f"`$.{refused.value.key}`")
    parts = ("routes", "services")
    items = {part: json.loads(sent)[part] for part in parts if json.loads(sent)[part] != document()[part]}
    if items:
        with pytest.raises(InvalidConfiguration):
            amend(body(document()), body({"revision": 8, "upsert": items}))


def test_shares_without_a_finite_sum_are_refused() -> None:
    """Guards against a route on which each request fails, as no branch can be drawn."""
    with pytest.raises(InvalidConfiguration, match="finite"):
        check(broken(lambda d: [branch.update(share=1e308) for branch in d["routes"][1]["branches"]]), 5)


def test_integer_shares_beyond_the_range_of_a_float_are_refused() -> None:
    """Guards against an error of the server in place of a refusal that names the key."""
    with pytest.raises(InvalidConfiguration, match="finite"):
        check(broken(lambda d: [branch.update(share=10**308) for branch in d["routes"][1]["branches"]]), 5)
