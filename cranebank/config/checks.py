"""Converts decoded values to types; an error is one line with the key's path and what was expected."""

from __future__ import annotations

import re
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")
_TYPE_WORDS = {
    "float": "a number",
    "int": "a whole number",
    "str": "a text",
    "bool": "true or false",
    "array": "a list",
    "object": "a table",
    "null": "nothing",
}
_MESSAGE = re.compile(r"(?s)(.*?)(?: - at `\$(.*)`)?")
_PATH_STEP = re.compile(r"\[(\d+|\.\.\.)\]|\.?([^.\[\]]+)")


class ConfigError(ValueError):
    """A file or variable that is unusable; the message is one line that says why."""


def convert_checked(value: object, kind: type[T], where: str, strict: bool = True) -> T:
    """Convert ``value`` (as JSON, TOML or text gave it) to ``kind``; ``where`` names file or variable.

    Not ``strict``: texts that read as a number or as true or false stand for these, as in variables.
    """
    try:
        return msgspec.convert(value, kind, strict=strict)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{where}: {explain(str(error), kind)}") from None


def explain(message: str, kind: type[Any]) -> str:
    """Turn one of msgspec's messages into 'key.path: expected this, got that'."""
    match = _MESSAGE.fullmatch(message)
    assert match is not None  # the pattern matches any text
    text, path = match[1], match[2] or ""
    steps = [index or name for index, name in _PATH_STEP.findall(path)]
    missing = re.fullmatch(r"Object missing required field `(.*)`", text)
    unknown = re.fullmatch(r"(?s)Object contains unknown field `(.*)`", text)
    enum = re.fullmatch(r"(?s)Invalid enum value (.*)", text)
    if missing:
        steps.append(missing[1])
        text = f"missing, expected {_describe_type(_type_at(kind, steps))}"
    elif unknown:
        known = getattr(_type_at(kind, steps), "fields", ())
        steps.append(_one_line(unknown[1]))
        text = f"unknown key, expected one of {', '.join(field.encode_name for field in known)}"
    elif enum:
        text = f"expected {_describe_type(_type_at(kind, steps))}, got {_one_line(enum[1])}"
    else:
        text = re.sub(
            r"`(\w+)(?: \| (\w+))?`", _describe_type_names, _one_line(text).replace("Expected", "expected", 1)
        )
    return f"{'.'.join(steps)}: {text}" if steps else text


def _describe_type_names(match: re.Match[str]) -> str:
    return " or ".join(_TYPE_WORDS.get(word, word) for word in match.groups() if word)


def _one_line(text: str) -> str:
    return " ".join(text.split())[:80]


def _type_at(kind: type[Any], steps: list[str]) -> Any:
    """Return the type at a path as msgspec describes it, or None if the path leaves the described types."""
    from msgspec import inspect  # noqa: PLC0415  (needed for errors only, so not loaded at start-up)

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


def _describe_type(node: Any) -> str:
    """Describe in words what a key's type accepts."""
    if hasattr(node, "values"):
        return "one of " + ", ".join(map(str, node.values))
    name = type(node).__name__.removesuffix("Type").lower()
    if name == "union":
        return " or ".join(_describe_type(t) for t in node.types)
    plain = {"struct": "object", "dict": "object", "list": "array", "vartuple": "array", "none": "null"}
    return _TYPE_WORDS.get(plain.get(name, name), "a value")
