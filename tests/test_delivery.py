"""Pushes, acknowledgements and configurations of the delivery core, without network links."""

from __future__ import annotations

from collections.abc import Hashable
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranebank.control import delivery as delivery_module
from cranebank.control.delivery import (
    BACKUP_PUSH_DELAY_S,
    CONTROLLER_PUSH_DELAY_S,
    MAX_NEIGHBOURS,
    WELCOME_INTERVAL_S,
    Delivery,
    PendingAcks,
)
from cranebank.transport.messages import Backend, ConfigPush, Message, Push, Welcome
from cranebank.transport.revision import Revision


def backend(name: str, phase: str = "ready") -> Backend:
    """Return a backend's record."""
    return Backend(name, "s", "10.0.0.9:80", "z", "", 1, phase, 1)


def made(proxies: int = 0, is_primary: bool = False) -> Delivery:
    """Return a delivery with links 0, 1, ... of proxies at revision 0."""
    delivery = Delivery("c-1", Random(1), lambda _now, _revision: True)
    delivery.set_primary(0, is_primary)
    for number in range(proxies):
        join(delivery, 0, number)
    delivery.pop_messages()
    return delivery


def join(
    delivery: Delivery,
    now: float,
    number: int,
    revision: int = 0,
    link: Hashable = None,
    records: tuple[Backend, ...] = (),
) -> Hashable | None:
    """Add the link of a proxy that sent Hello."""
    return delivery.join(
        now, number if link is None else link, f"p-{number}", f"10.0.0.{number}", True, revision, records
    )


def configured(messages: list[tuple[Hashable, Message]]) -> list[tuple[Hashable, int]]:
    """Return the configurations among the messages."""
    return [(link, message.revision) for link, message in messages if isinstance(message, ConfigPush)]


def test_first_push_carries_everything() -> None:
    """A new proxy gets a Welcome and all records; later pushes are numbered from there, on each link by itself."""
    delivery = made()
    delivery.update_controllers({"10.1.0.2", "10.1.0.1"})
    join(delivery, 0, 1, records=(backend("a"), backend("b", "gone")))
    assert delivery.pop_messages() == [
        (1, Welcome("c-1", ("10.1.0.1", "10.1.0.2"), 1, ())),
        (1, Push(1, (backend("a"), backend("b", "gone")))),
    ]
    delivery.push_backends((backend("c"),))
    join(delivery, 0, 2)
    delivery.push_backends((backend("d"),))
    pushes = [(link, message.number) for link, message in delivery.pop_messages() if isinstance(message, Push)]
    assert pushes == [(1, 2), (2, 1), (1, 3), (2, 2)]


def test_a_mark_waits_for_all() -> None:
    """It is done once every link of that time has acknowledged or closed; later links do not count."""
    delivery = made(3)
    acks = delivery.push_backends((backend("a", "draining"),))
    done: list[bool] = []
    acks.on_done = lambda: done.append(True)
    join(delivery, 1, 7)
    delivery.acknowledged(0, 2)
    delivery.acknowledged(1, 1)  # an earlier push
    assert (acks.missing, acks.done) == (2, False)
    delivery.leave(2)
    assert not done
    delivery.acknowledged(1, 2)
    assert acks.done
    assert done == [True]
    assert made().push_backends((backend("a"),)).done


def test_a_process_that_comes_again_replaces_its_link() -> None:
    """A machine's new link replaces its old one in the count; a reused slot is not mistaken for the old link."""
    delivery = made(2)
    acks = delivery.push_backends((backend("a", "draining"),))
    assert join(delivery, 1, 0, link="again") == 0
    assert acks.missing == 1
    delivery.acknowledged("again", 9)
    assert acks.missing == 1
    assert delivery.proxies == {"10.0.0.0", "10.0.0.1"}
    delivery.acknowledged(0, 9)
    delivery.acknowledged(1, 2)
    assert acks.done


def test_a_controller_and_a_proxy_of_one_machine() -> None:
    """They are two processes; the controller gets only configurations."""
    delivery = made(1)
    assert delivery.join(0, "c", "c-2", "10.0.0.0", False, 0, ()) is None
    delivery.push_backends((backend("a"),))
    assert [link for link, _ in delivery.pop_messages()] == [0]
    assert delivery.proxies == {"10.0.0.0"}


def test_the_primary_pushes_at_once() -> None:
    """Every outdated proxy gets it once; other controllers get it if they did not learn of it by consensus."""
    delivery = made(2, is_primary=True)
    delivery.join(0, "c", "c-2", "10.0.1.1", False, 0, ())
    delivery.join(0, "d", "c-3", "10.0.1.2", False, 0, ())
    delivery.observe_revision(1, 9)
    assert delivery.committed(1, Revision(7), b"{}")
    assert configured(delivery.pop_messages()) == [(0, 7)]
    delivery.observe_revision("d", 7)
    delivery.tick(1 + CONTROLLER_PUSH_DELAY_S)
    assert configured(delivery.pop_messages()) == [("c", 7)]
    delivery.tick(9)
    assert configured(delivery.pop_messages()) == []
    join(delivery, 9, 5, revision=3)
    assert configured(delivery.pop_messages()) == [(5, 7)]


def test_others_wait_for_the_primary() -> None:
    """They send it only to peers that still show an older one after a delay."""
    delivery = made(2)
    delivery.committed(1, Revision(7), b"{}")
    delivery.tick(0.9 + BACKUP_PUSH_DELAY_S)
    assert configured(delivery.pop_messages()) == []
    delivery.observe_revision(0, 7)
    delivery.tick(1 + BACKUP_PUSH_DELAY_S)
    assert configured(delivery.pop_messages()) == [(1, 7)]
    join(delivery, 5, 5, revision=6)
    delivery.tick(5)
    assert configured(delivery.pop_messages()) == []
    delivery.tick(5 + BACKUP_PUSH_DELAY_S)
    assert configured(delivery.pop_messages()) == [(5, 7)]


def test_changes_in_a_row_do_not_keep_anybody_waiting() -> None:
    """The delay before a peer is sent the newest configuration starts with the first change, not with the last."""
    delivery = made(1)
    delivery.join(0, "c", "c-2", "10.0.1.1", False, 0, ())
    delivery.committed(1.0, Revision(1), b"{}")
    sent: dict[Hashable, float] = {}
    for step in range(1, 20):
        now = 1.0 + step * 0.1
        delivery.committed(now, Revision(1 + step), b"{}")
        delivery.tick(now)
        for link, _ in configured(delivery.pop_messages()):
            sent.setdefault(link, now)
    assert sent[0] <= 1.0 + BACKUP_PUSH_DELAY_S + 0.11
    assert sent["c"] <= 1.0 + CONTROLLER_PUSH_DELAY_S + 0.11


def test_a_peer_that_keeps_in_step_is_sent_nothing_by_others_than_the_primary() -> None:
    delivery = made(1)
    for step in range(20):
        now = 1.0 + step * 0.1
        delivery.committed(now, Revision(1 + step), b"{}")
        delivery.observe_revision(0, 1 + step)
        delivery.tick(now)
    assert configured(delivery.pop_messages()) == []


def test_a_proxy_without_any_configuration_gets_one_from_whoever_has_it() -> None:
    """Without one it serves no requests, and there may be no primary for a while."""
    delivery = made(1)
    delivery.committed(1, Revision(7), b"{}")
    delivery.pop_messages()
    join(delivery, 5, 5)
    assert configured(delivery.pop_messages()) == [(5, 7)]


def test_out_of_contact_nothing_is_handed_out() -> None:
    """Not even to a proxy without any, or by a supposed primary; once contact returns, it is sent."""
    in_contact = [False]
    delivery = Delivery("c-1", Random(1), lambda _now, _revision: in_contact[0])
    delivery.set_primary(0, True)
    join(delivery, 0, 0)
    delivery.committed(1, Revision(7), b"{}")
    join(delivery, 2, 1, revision=3)
    delivery.join(2, "c", "c-2", "10.0.1.1", False, 0, ())
    delivery.tick(9)
    assert configured(delivery.pop_messages()) == []
    in_contact[0] = True
    delivery.tick(10)
    assert configured(delivery.pop_messages()) == [(0, 7), (1, 7), ("c", 7)]


def test_only_what_is_known_to_be_the_newest_is_handed_out() -> None:
    """A configuration from disk, or of a controller that lags behind, may be outdated despite contact."""
    newest = [8]
    delivery = Delivery("c-1", Random(1), lambda _now, revision: revision >= newest[0])
    delivery.committed(0, Revision(7), b"{}")
    join(delivery, 0, 0)
    delivery.tick(9)
    assert configured(delivery.pop_messages()) == []
    delivery.committed(10, Revision(8), b"{ }")
    delivery.tick(11)
    assert configured(delivery.pop_messages()) == [(0, 8)]


def test_a_new_primary_hands_out_what_is_missing() -> None:
    """A new primary pushes at once to outdated proxies."""
    delivery = made(2)
    delivery.committed(1, Revision(7), b"{}")
    delivery.set_primary(1.01, True)
    assert configured(delivery.pop_messages()) == [(0, 7), (1, 7)]


def test_nothing_older_is_handed_out() -> None:
    """An earlier revision, or another document of the same revision, is ignored."""
    delivery = made(1, is_primary=True)
    assert delivery.committed(1, Revision(7), b"7")
    assert not delivery.committed(2, Revision(7), b"x")
    assert not delivery.committed(2, Revision(5), b"5")
    assert configured(delivery.pop_messages()) == [(0, 7)]
    assert delivery.document == b"7"


def test_waiting_for_a_revision() -> None:
    """The wait is done when all linked proxies show the revision or a later one."""
    delivery = made(3, is_primary=True)
    delivery.committed(1, Revision(7), b"{}")
    acks = delivery.await_revision(7)
    delivery.observe_revision(0, 7)
    delivery.observe_revision(1, 6)
    delivery.observe_revision(2, 9)
    assert acks.missing == 1
    delivery.observe_revision(1, 7)
    assert acks.done
    assert delivery.await_revision(7).done


def test_welcomes_are_few() -> None:
    """Many changes within a short time cause only one more round."""
    delivery = made()
    for number in range(12):
        join(delivery, 10, number)
    assert sum(isinstance(message, Welcome) for _, message in delivery.pop_messages()) == 12
    delivery.tick(10)
    delivery.tick(10 + WELCOME_INTERVAL_S / 2)
    assert delivery.pop_messages() == []
    delivery.tick(10 + WELCOME_INTERVAL_S)
    rounds = [message for _, message in delivery.pop_messages() if isinstance(message, Welcome)]
    assert len(rounds) == 12
    assert {message.proxies for message in rounds} == {12}
    assert all(len(set(message.neighbours)) == 11 for message in rounds)
    delivery.tick(20)
    assert delivery.pop_messages() == []


@given(st.integers(0, 10**6))
def test_counts_hold_under_random_load(seed: int) -> None:
    """Numbers increase by one on each link, revisions never decrease, and a wait is done exactly when all its links
    have acknowledged or closed."""
    random = Random(seed)
    delivery = Delivery("c", random, lambda _now, _revision: True)
    numbers: dict[Hashable, int] = {}
    revisions: dict[Hashable, int] = {}
    pending: list[tuple[PendingAcks, dict[Hashable, int]]] = []
    now, revision, links = 0.0, 0, 0
    for _ in range(80):
        now += random.random() / 5
        link = random.choice(list(numbers)) if numbers else None
        match random.randrange(7):
            case 0:
                links += 1
                numbers[links], revisions[links] = 0, 0
                older = join(delivery, now, random.randrange(5), link=links)
                for waiting in (waits for _, waits in pending):
                    waiting.pop(older, None)
                numbers.pop(older, None)
            case 1 if link is not None and random.random() < 0.5:
                delivery.leave(link)
                del numbers[link]
                for _, waits in pending:
                    waits.pop(link, None)
            case 2:
                acks = delivery.push_backends((backend(str(random.random())),))
                pending.append((acks, {known: number + 1 for known, number in numbers.items()}))
            case 3 if link is not None:
                number = random.randint(0, numbers[link])
                delivery.acknowledged(link, number)
                for _, waits in pending:
                    if waits.get(link, number + 1) <= number:
                        del waits[link]
            case 4:
                revision = max(0, revision + random.randint(-1, 2))
                delivery.committed(now, Revision(revision), b"{}")
            case 5:
                delivery.set_primary(now, random.random() < 0.5)
            case _:
                delivery.tick(now)
        for to, message in delivery.pop_messages():
            if to in numbers and isinstance(message, Push):
                assert message.number == numbers[to] + 1
                numbers[to] += 1
            elif isinstance(message, ConfigPush):
                assert message.revision > revisions[to]
                revisions[to] = message.revision
        for acks, waits in pending:
            assert acks.missing == len(waits)
            assert acks.done == (not waits)


def test_one_message_for_all_links() -> None:
    """A configuration may be large: one message object, encoded once, is sent on all links."""
    delivery = made(5, is_primary=True)
    delivery.committed(1, Revision(3), b"{}")
    handed = [message for _, message in delivery.pop_messages() if isinstance(message, ConfigPush)]
    assert len(handed) == 5 and all(message is handed[0] for message in handed)
    delivery.committed(2, Revision(4), b"{ }")
    handed = [message for _, message in delivery.pop_messages() if isinstance(message, ConfigPush)]
    assert [(message.revision, message.document) for message in handed] == [(4, b"{ }")] * 5


def test_nobody_is_named_its_own_neighbour() -> None:
    delivery = made()
    for number in range(MAX_NEIGHBOURS + 30):
        join(delivery, 10, number)
    delivery.tick(10)
    delivery.pop_messages()
    delivery.tick(10 + WELCOME_INTERVAL_S)
    for link, message in delivery.pop_messages():
        assert isinstance(message, Welcome)
        assert len(set(message.neighbours)) == MAX_NEIGHBOURS and f"10.0.0.{link}" not in message.neighbours


def test_changes_that_a_silent_proxy_never_acknowledges_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(delivery_module, "MAX_PENDING", 3)
    delivery = made(1)
    awaited = [delivery.await_revision(revision) for revision in range(1, 9)]
    pushed = [delivery.push_backends((backend(str(number)),)) for number in range(8)]
    assert len(delivery._revision_acks) == len(delivery._backend_acks) == 3
    delivery.observe_revision(0, 8)
    delivery.acknowledged(0, 9)
    assert [acks.done for acks in awaited] == [acks.done for acks in pushed] == [False] * 5 + [True] * 3
