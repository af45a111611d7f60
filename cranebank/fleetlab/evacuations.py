"""The operator's evacuations of zones: nothing more is to be sent to a zone's backends, until that is taken back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from cranebank.fleetlab.backend import Backend
from cranebank.fleetlab.operator import FINAL, RETRY_S, Ask, ask_following
from cranebank.fleetlab.records import EvacuationOrder

LAST_ATTEMPT = 3  # at which any other 4xx ends an order
MOST_FINISHES = 5  # of one zone, one after another
COLD_AHEAD_S = 0.2  # a zone's backends turn cold so much earlier than it is taken back
CLIENT_ERROR, SERVER_ERROR = 400, 500


class EvacuationOperator:
    """Sends orders until there is a clear answer, no longer than ``give_up_s``."""

    def __init__(
        self,
        controllers: Callable[[], list[str]],
        orders: list[EvacuationOrder],
        random: Random,
        ask: Ask,
        give_up_s: float,
        progress: Callable[[str], None],
    ) -> None:
        self._controllers, self._orders, self._random = controllers, orders, random
        self._ask, self._give_up_s, self._progress = ask, give_up_s, progress

    async def evacuate(self, zone: str, seconds: float | None, backends: Iterable[Backend]) -> None:
        """Empty a zone, and take it back after a while, or never; those of these backends that are in it are cold
        then. An operator whose Finish got no clear answer gives it anew, a few times."""
        await self._order(zone, True)
        if seconds is None:
            return
        await asyncio.sleep(seconds)
        for backend in backends:
            if backend.zone == zone:
                backend.turn_cold()
        await asyncio.sleep(COLD_AHEAD_S)
        for _ in range(MOST_FINISHES):
            finish = await self._order(zone, False)
            if finish.acked is not None or finish.is_refused:
                return

    async def _order(self, zone: str, is_start: bool) -> EvacuationOrder:
        loop = asyncio.get_running_loop()
        order = EvacuationOrder(zone, is_start, loop.time())
        self._orders.append(order)
        path = f"/api/Evacuation.{'Start' if is_start else 'Finish'}/{zone}"
        attempts = 0
        while loop.time() < order.sent + self._give_up_s:
            attempts += 1
            answer = await ask_following(self._ask, self._random.choice(self._controllers()), "POST", path)
            status = answer.status if answer.whole else 0
            if 200 <= status < 300:
                order.acked = loop.time()
                break
            if status in FINAL or (CLIENT_ERROR <= status < SERVER_ERROR and attempts >= LAST_ATTEMPT):
                order.refused_with = status
                break
            await asyncio.sleep(RETRY_S)
        self._progress(f"{path}: {order.outcome}")
        return order
