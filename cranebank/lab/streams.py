"""Random streams: one per entity, so that adding an entity doesn't change the draws of the others."""

from __future__ import annotations

import numpy as np
import xxhash


def stream(seed: int, *entity: str | int) -> np.random.Generator:
    """Return the stream of an entity, such as ``stream(1, "host", "front-std-0")``.

    The entity's name is hashed (xxHash64) into the spawn key of numpy's SeedSequence, so that the stream
    depends on the seed and the name alone and not on the order in which streams are made.
    """
    name = xxhash.xxh64_intdigest("/".join(map(str, entity)).encode())
    key = (name >> 32, name & 0xFFFFFFFF)
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence(entropy=seed, spawn_key=key)))
