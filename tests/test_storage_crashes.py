"""Power loss, or a refused call, at every step of open, put, rewrite and set_aside, with every resulting disk state.

Steps and states are enumerated in full, not sampled. Each test counts how often its cases were reached.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Mapping

import pytest
from simulated_files import Inode, PowerLost, SimulatedFiles

from cranebank.storage.records import DamagedFile, DiskRefused, encode_batch
from cranebank.storage.store import MAX_SET_ASIDE_FILES, Store, open_or_set_aside, set_aside

NAME = "state"
REWRITE_FROM = 300
Values = Mapping[str, bytes]


@pytest.fixture(autouse=True)
def small_files(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lower the limit, so that files are rewritten every few puts."""
    monkeypatch.setattr("cranebank.storage.store.REWRITE_FROM_BYTES", REWRITE_FROM)


def put_number(number: int) -> dict[str, bytes]:
    """Return the values of one put: two keys that must stay consistent, and one that is large in every third put."""
    size = 90 if number % 3 == 2 else 5
    return {"count": b"%d" % number, "copy": b"%d" % number, "large": bytes([number + 1]) * size}


class AllowedValues:
    """Values acknowledged to a writer and values it has tried since: those that a reader may find."""

    def __init__(self) -> None:
        self.stored: Values = {}
        self.tried: list[Values] = []

    @property
    def allowed(self) -> list[Values]:
        """Values that may be read after a crash."""
        return [self.stored, *self.tried]


def write(files: SimulatedFiles, expected: AllowedValues, puts: int) -> Store:
    """Open the store and put; refused puts are not retried."""
    store = opened(files)
    expected.stored = dict(store.values)
    for number in range(puts):
        values = put_number(number)
        expected.tried.append(values)
        try:
            store.put(values)
        except DiskRefused:
            assert store.values == expected.stored
        else:
            expected.stored, expected.tried = values, []
    return store


def opened(files: SimulatedFiles) -> Store:
    """Open the store; a refused open is retried, as the controller does."""
    while True:
        try:
            return Store(files, NAME)
        except DiskRefused:
            continue


def crashes(run: Callable[[SimulatedFiles], None], make: Callable[[], SimulatedFiles]) -> Iterator[SimulatedFiles]:
    """Run repeatedly, losing power one step later each time; yield the files at each loss."""
    step = 0
    while True:
        step += 1
        files = make()
        files.lose_power_at = step
        try:
            run(files)
        except PowerLost:
            yield files
        else:
            return


def states_after(files: SimulatedFiles) -> Iterator[SimulatedFiles]:
    """Yield every state after a power loss, and the one after a kill of the process."""
    yield from files.after_power_loss()
    yield files.after_kill()


def test_every_step_of_writing_and_every_state_after_it() -> None:
    reached: Counter[str] = Counter()
    expected = AllowedValues()

    def run(files: SimulatedFiles) -> None:
        expected.__init__()  # type: ignore[misc]
        write(files, expected, puts=9)

    for files in crashes(run, SimulatedFiles):
        at = files.log[-1]
        for left in states_after(files):
            reached[at] += 1
            reached["old file under the name"] += NAME + ".new" in left.entries and NAME in left.entries
            reopened = Store(left, NAME)
            assert reopened.values in expected.allowed, at
            assert NAME + ".new" not in left.entries
            # The values of the reopened store, and those it stores next, survive a second loss.
            shown = dict(reopened.values)
            for second in left.after_power_loss():
                assert Store(second, NAME).values == shown, at
            reopened.put({"after": b"1"})
            for second in left.after_power_loss():
                assert Store(second, NAME).values == {**shown, "after": b"1"}, at
    for step in (
        "before create state",
        "before sync of created state",
        "after append state",
        "before sync state",
        "before create state.new",
        "before sync of created state.new",
        "before rename state.new",
        "after rename state.new",
        "before sync of the folder",
        "after sync of the folder",
        "before remove state.new",
        "old file under the name",
    ):
        assert reached[step] > 0, step


def test_a_second_loss_at_every_step_of_the_recovery() -> None:
    expected = AllowedValues()
    reached: Counter[str] = Counter()

    def run(files: SimulatedFiles) -> None:
        expected.__init__()  # type: ignore[misc]
        write(files, expected, puts=6)

    for files in crashes(run, SimulatedFiles):
        for left in states_after(files):
            allowed = expected.allowed

            def recover(found: SimulatedFiles) -> None:
                Store(found, NAME)

            for again in crashes(recover, left.after_kill):
                for second in states_after(again):
                    reached[again.log[-1]] += 1
                    assert Store(second, NAME).values in allowed, (files.log[-1], again.log[-1])
    for step in ("before sync of truncated state", "before sync state", "after remove state.new"):
        assert reached[step] > 0, step


@pytest.mark.parametrize("refusals", [1, 2, 5])
def test_every_step_refused_and_every_state_after_it(refusals: int) -> None:
    """A refused step, alone or with those after it: no acknowledged put is lost, no refused one is acknowledged."""
    whole = SimulatedFiles()
    write(whole, AllowedValues(), puts=8)
    refused_puts = 0
    for step in range(1, whole.steps + 1):
        files, expected = SimulatedFiles(), AllowedValues()
        files.refuse_at = set(range(step, step + refusals))
        store = write(files, expected, puts=8)
        refused_puts += len(expected.tried)
        for left in states_after(files):
            assert Store(left, NAME).values in expected.allowed, whole.log[step - 1]
        files.refuse_at = set()
        store.put(last := {**put_number(8), "last": b"1"})
        for left in states_after(files):
            assert Store(left, NAME).values == {**expected.stored, **last}, whole.log[step - 1]
    assert refused_puts > 0


def test_power_lost_at_every_step_after_a_refused_one() -> None:
    whole = SimulatedFiles()
    write(whole, AllowedValues(), puts=6)
    losses = 0
    for refused in range(1, whole.steps + 1):
        expected = AllowedValues()

        def make(refused: int = refused) -> SimulatedFiles:
            files = SimulatedFiles()
            files.refuse_at = {refused}
            return files

        def run(files: SimulatedFiles, expected: AllowedValues = expected) -> None:
            expected.__init__()  # type: ignore[misc]
            write(files, expected, puts=6)

        for files in crashes(run, make):
            if files.steps <= refused:
                continue
            for left in states_after(files):
                losses += 1
                assert Store(left, NAME).values in expected.allowed, (whole.log[refused - 1], files.log[-1])
    assert losses > 0


def damaged_files() -> SimulatedFiles:
    """Return a folder whose file has a broken batch before a later one, and a valid file of an interrupted rewrite."""
    whole = encode_batch(1, {"old": b"1"}), encode_batch(2, {"old": b"2"})
    damaged = b"\xff" + whole[0][1:] + whole[1] + encode_batch(3, {"old": b"3"})
    return SimulatedFiles({NAME: Inode(damaged), NAME + ".new": Inode(encode_batch(1, {"old": b"0"}))})


def open_and_put(files: SimulatedFiles) -> None:
    """Open a folder with a damaged file and put a value."""
    store, _ = open_or_set_aside(files, NAME)
    store.put({"new": b"1"})


def test_power_lost_at_every_step_of_setting_a_damaged_file_aside() -> None:
    """No old value reappears, and the damaged bytes are kept unless their folder entry was lost."""
    reached: Counter[str] = Counter()
    for files in crashes(open_and_put, damaged_files):
        for left in states_after(files):
            reached[files.log[-1]] += 1
            store, _ = open_or_set_aside(left, NAME)
            assert store.values in ({}, {"new": b"1"}), files.log[-1]
            store.put({"again": b"1"})
            for second in left.after_power_loss():
                reopened, damage = open_or_set_aside(second, NAME)
                assert damage is None and reopened.values["again"] == b"1" and "old" not in reopened.values
            for again in crashes(open_and_put, left.after_kill):
                for second in states_after(again):
                    assert "old" not in open_or_set_aside(second, NAME)[0].values
    assert reached["before rename state"] and reached["after rename state"] and reached["before sync of the folder"]


def test_a_file_that_was_set_aside_stays_aside_over_every_loss() -> None:
    files = damaged_files()
    before = files.read(NAME)
    aside = set_aside(files, NAME)
    left = list(states_after(files))
    assert [(one.read(NAME), one.read(aside)) for one in left] == [(None, before)] * len(left)


def test_every_step_of_setting_aside_refused() -> None:
    refused = 0
    for step in range(1, 40):
        files = damaged_files()
        files.refuse_at = {step}
        try:
            store, _ = open_or_set_aside(files, NAME)
        except DiskRefused:
            refused += 1
            for left in states_after(files):
                assert "old" not in open_or_set_aside(left, NAME)[0].values
            store, _ = open_or_set_aside(files, NAME)
        files.refuse_at = set()
        store.put({"new": b"1"})
        for left in states_after(files):
            assert open_or_set_aside(left, NAME)[0].values == {"new": b"1"}
    assert refused > 5


def test_the_first_write_torn_after_a_refused_one_is_not_taken_for_damage() -> None:
    """If an empty rewritten file continued at batch 3, a torn batch 3 would be taken for damage."""
    files = SimulatedFiles()
    store = Store(files, NAME)
    files.refuse_at = {files.steps + 1}
    with pytest.raises(DiskRefused):
        store.put(put_number(0))
    store.put(put_number(1))
    assert files.read(NAME) == encode_batch(1, put_number(1))


def test_damaged_files_that_are_set_aside_are_bounded() -> None:
    files = SimulatedFiles()
    for number in range(MAX_SET_ASIDE_FILES + 3):
        files.create(NAME, b"damaged %d" % number)
        files.sync_folder()
        set_aside(files, NAME)
    assert len(files.entries) == MAX_SET_ASIDE_FILES
    assert files.read(f"{NAME}.damaged-{MAX_SET_ASIDE_FILES}") == b"damaged %d" % (MAX_SET_ASIDE_FILES + 2)


def test_a_damaged_file_that_cannot_be_renamed_is_not_replaced() -> None:
    files = damaged_files()
    with pytest.raises(DamagedFile):
        Store(files, NAME)
    files.refuse_at = {files.steps + 1}
    with pytest.raises(DiskRefused):
        set_aside(files, NAME)
    with pytest.raises(DamagedFile):
        Store(files, NAME)
