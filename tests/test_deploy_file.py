"""The deploy file of system packages is well-formed, and the build installs only pinned versions."""

from __future__ import annotations

import re
import tomllib
from importlib import metadata
from pathlib import Path

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

ROOT = Path(__file__).parent.parent
DEBIAN_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+")


def test_system_packages_are_listed_once_each_by_their_debian_names() -> None:
    packages = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))["packages"]
    assert {"python3", "python3-pip", "libstdc++6"} <= set(packages)
    assert packages == sorted(set(packages)) and all(DEBIAN_NAME.fullmatch(name) for name in packages)


def test_every_requirement_of_a_requirement_has_a_fixed_version() -> None:
    lines = (ROOT / "requirements.txt").read_text(encoding="utf-8").splitlines()
    requirements = [Requirement(line) for line in lines]
    assert all(str(requirement.specifier).startswith("==") for requirement in requirements)
    pinned = {canonicalize_name(requirement.name) for requirement in requirements}
    needed = {
        canonicalize_name(needed.name)
        for requirement in requirements
        for needed in map(Requirement, metadata.requires(requirement.name) or ())
        if needed.marker is None or needed.marker.evaluate({"extra": ""})
    }
    assert needed <= pinned
