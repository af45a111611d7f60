"""Use the storage on its own: stored values survive a torn write."""

import tempfile
from pathlib import Path

from cranebank.storage.store import open_store

with tempfile.TemporaryDirectory() as folder:
    store, damage = open_store(Path(folder), "values")
    store.put({"colour": b"green", "size": b"4"})  # durable when it returns
    store.put({"colour": b"blue"})
    store.close()
    (file,) = [path for path in Path(folder).iterdir() if path.is_file()]
    file.write_bytes(file.read_bytes()[:-3])  # tear the last write
    store, damage = open_store(Path(folder), "values")
    print("after the torn write:", dict(store.values), "damage:", damage)
    store.close()
