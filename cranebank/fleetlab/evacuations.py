"""The operator's evacuations of zones: no requests go to a zone's backends until the evacuation is ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from cranebank.fleetlab.backend import Backend
from cranebank.fleetlab.operator import FINAL_STATUSES, RETRY_INTERVAL_S, Ask, ask_following
from cranebank.fleetlab.records import EvacuationOrder

MAX_CLIENT_ERROR_ATTEMPTS = 3  # from this attempt on, any other 4xx ends an order too
MAX_FINISHES = 5  # consecutive Finish orders for one zone
COLD_LEAD_S = 0.2  # a zone's backends turn cold this long before its evacuation ends
CLIENT_ERROR, SERVER_ERROR = 400, 500


class EvacuationOperator:
    """Sends orders until there is a definite answer, for at most ``give_up_s``."""

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
        """Evacuate a zone, and end the evacuation after some seconds, or never if None. The zone's backends turn cold
        before the end. A Finish without a definite answer is repeated, up to MAX_FINISHES in total."""
        await self._order(zone, True)
        if seconds is None:
            return
        await asyncio.sleep(seconds)
        for backend in backends:
            if backend.zone == zone:
                backend.turn_cold()
        await asyncio.sleep(COLD_LEAD_S)
        for _ in range(MAX_FINISHES):
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
            if status in FINAL_STATUSES or (
                CLIENT_ERROR <= status < SERVER_ERROR and attempts >= MAX_CLIENT_ERROR_ATTEMPTS
            ):
                order.refused_with = status
                break
            await asyncio.sleep(RETRY_INTERVAL_S)
        self._progress(f"{path}: {order.outcome}")
        return order
