"""From values as read to typed ones; whatever is wrong is one line with key path and what was expected."""

from __future__ import annotations

import re
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")
_WORDS = {
    "float": "a number",
    "int": "a whole number",
    "str": "a text",
    "bool": "true or false",
    "array": "a list",
    "object": "a table",
    "null": "nothing",
}
_AT = re.compile(r"(?s)(.*?)(?: - at `\$(.*)`)?")
_STEP = re.compile(r"\[(\d+|\.\.\.)\]|\.?([^.\[\]]+)")


class ConfigError(ValueError):
    """A file or variable that can't be used; the message is one line that says why."""


def convert_checked(told: object, kind: type[T], where: str, strict: bool = True) -> T:
    """Convert ``told`` (as JSON, TOML or text gave it) to ``kind``; ``where`` names file or variable.

    Not ``strict``: texts that read as a number or as true or false stand for these, as in variables.
    """
    try:
        return msgspec.convert(told, kind, strict=strict)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{where}: {explain(str(error), kind)}") from None


def explain(message: str, kind: type[Any]) -> str:
    """Turn one of msgspec's messages into 'key.path: expected this, got that'."""
    found = _AT.fullmatch(message)
    assert found is not None  # it matches any text
    said, path = found[1], found[2] or ""
    steps = [index or name for index, name in _STEP.findall(path)]
    missing = re.fullmatch(r"Object missing required field `(.*)`", said)
    unknown = re.fullmatch(r"(?s)Object contains unknown field `(.*)`", said)
    enum = re.fullmatch(r"(?s)Invalid enum value (.*)", said)
    if missing:
        steps.append(missing[1])
        said = f"missing, expected {_expected(_at(kind, steps))}"
    elif unknown:
        known = getattr(_at(kind, steps), "fields", ())
        steps.append(_line(unknown[1]))
        said = f"unknown key, expected one of {', '.join(field.encode_name for field in known)}"
    elif enum:
        said = f"expected {_expected(_at(kind, steps))}, got {_line(enum[1])}"
    else:
        said = re.sub(r"`(\w+)(?: \| (\w+))?`", _worded, _line(said).replace("Expected", "expected", 1))
    return f"{'.'.join(steps)}: {said}" if steps else said


def _worded(found: re.Match[str]) -> str:
    return " or ".join(_WORDS.get(word, word) for word in found.groups() if word)


def _line(text: str) -> str:
    return " ".join(text.split())[:80]


def _at(kind: type[Any], steps: list[str]) -> Any:
    """The type at a path, as msgspec describes it; None where the path leads out of what is described."""
    from msgspec import inspect  # noqa: PLC0415  (for errors only: nothing that a start should pay for)

    node: Any = inspect.type_info(kind)
    for step in steps:
        if isinstance(node, inspect.UnionType):
            node = next((t for t in node.types if not isinstance(t, inspect.NoneType)), None)
        if isinstance(node, inspect.StructType):
            node = next((field.type for field in node.fields if field.encode_name == step), None)
        elif isinstance(node, inspect.DictType):
            node = node.value_type
        else:
            node = getattr(node, "item_type", None)
    return node


def _expected(node: Any) -> str:
    """What a key's type accepts, in words."""
    if hasattr(node, "values"):
        return "one of " + ", ".join(map(str, node.values))
    name = type(node).__name__.removesuffix("Type").lower()
    if name == "union":
        return " or ".join(_expected(t) for t in node.types)
    plain = {"struct": "object", "dict": "object", "list": "array", "vartuple": "array", "none": "null"}
    return _WORDS.get(plain.get(name, name), "a value")
