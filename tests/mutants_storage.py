"""Planted faults of storage, and of the bounds over hundreds of changes."""

from __future__ import annotations

from mutant import Mutant, Point

STORAGE_MUTANTS = (
    Mutant(
        Point.HUNDREDS_OF_CHANGES,
        "a write is not synced",
        "storage/store.py",
        "os.fdatasync(self._descriptor(name))",
        "pass",
        "test_storage.py test_consensus_simulated.py",
    ),
    Mutant(
        Point.HUNDREDS_OF_CHANGES,
        "a rename whose folder is not synced counts as stored",
        "storage/store.py",
        "self._files.sync_folder()\n        self._needs_rewrite = False",
        "self._needs_rewrite = False",
        "test_storage_crashes.py",
    ),
    Mutant(
        Point.HUNDREDS_OF_CHANGES,
        "a rewritten file is renamed before it is synced",
        "storage/store.py",
        "            _write_all(descriptor, data)\n            os.fsync(descriptor)",
        "            _write_all(descriptor, data)",
        "test_storage.py",
    ),
    Mutant(
        Point.HUNDREDS_OF_CHANGES,
        "an open returns records that a killed process had not synced",
        "storage/store.py",
        "            self._files.sync(self._name)\n        # The same",
        "            pass\n        # The same",
        "test_storage_crashes.py",
    ),
    Mutant(
        Point.HUNDREDS_OF_CHANGES,
        "an open returns a renamed file without syncing the folder",
        "storage/store.py",
        "self._files.sync_folder()\n        return contents",
        "return contents",
        "test_storage_crashes.py",
    ),
    Mutant(
        Point.HUNDREDS_OF_CHANGES,
        "an empty rewritten file continues with a later batch",
        "storage/store.py",
        "self._batch + 2 if values else 0",
        "self._batch + 2",
        "test_storage_crashes.py",
    ),
    Mutant(
        Point.HUNDREDS_OF_CHANGES,
        "a damaged file is set aside without syncing the folder",
        "storage/store.py",
        "files.rename(name, aside)\n        files.sync_folder()",
        "files.rename(name, aside)",
        "test_storage_crashes.py",
    ),
    Mutant(
        Point.HUNDREDS_OF_CHANGES,
        "the file is never rewritten",
        "storage/store.py",
        "max(REWRITE_FROM_BYTES, REWRITE_FACTOR * self._live_bytes())",
        "float('inf')",
        "test_storage_bounds.py",
    ),
    Mutant(
        Point.HUNDREDS_OF_CHANGES,
        "the call table is unbounded",
        "control/call_table.py",
        "if surplus <= 0:",
        "if True:",
        "test_call_table.py",
    ),
    Mutant(
        Point.HUNDREDS_OF_CHANGES,
        "an older value overwrites a newer one",
        "control/voter.py",
        "if value.age < self._value.age:\n            return\n        if value.age > self._value.age:",
        "if value.age != self._value.age:",
        "test_consensus_replica.py::test_a_late_store_of_an_earlier_revision_changes_nothing",
    ),
    Mutant(
        Point.HUNDREDS_OF_CHANGES,
        "a store of an earlier term is taken",
        "control/voter.py",
        "if record is None or message.record.term < record.term:",
        "if record is None:",
        "test_consensus_replica.py::test_a_late_store_of_an_earlier_term_of_the_same_primary_is_refused",
    ),
)
