"""A deterministic scheduler in simulated time, and an asyncio event loop for each simulated process."""

from __future__ import annotations

import asyncio
import heapq
import inspect
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from contextvars import Context
from typing import Any, TypeVar

T = TypeVar("T")

EXECUTOR_DELAY_S = 0.002  # duration of a call in a worker thread


class Handle:
    """A scheduled callback; replaces ``asyncio.Handle``, without contexts, which nothing here uses."""

    __slots__ = ("_args", "_callback", "_when", "is_cancelled")

    def __init__(self, callback: Callable[..., object], args: tuple[Any, ...], when: float = 0.0) -> None:
        self._callback, self._args, self._when = callback, args, when
        self.is_cancelled = False

    def cancel(self) -> None:
        """Cancel the callback."""
        self.is_cancelled = True

    def cancelled(self) -> bool:
        """Whether it was cancelled."""
        return self.is_cancelled

    def when(self) -> float:
        """Return its time by its loop's clock."""
        return self._when

    def run(self) -> None:
        """Call the callback."""
        self._callback(*self._args)


class Scheduler:
    """Runs all events in the order of their simulated time, without sleeping."""

    def __init__(self) -> None:
        self.now = 0.0
        self.is_stopped = False
        self._heap: list[tuple[float, int, ProcessLoop | None, Any]] = []
        self._ready: deque[tuple[ProcessLoop, Handle]] = deque()
        self._number = 0

    def at(self, when: float, what: Callable[[], object]) -> None:
        """Call something that belongs to no process at a time."""
        self._number += 1
        heapq.heappush(self._heap, (max(when, self.now), self._number, None, what))

    def after(self, delay: float, what: Callable[[], object]) -> None:
        """Call something that belongs to no process after a delay."""
        self.at(self.now + delay, what)

    def push_timer(self, when: float, loop: ProcessLoop, handle: Handle) -> None:
        """Schedule a process's timer."""
        self._number += 1
        heapq.heappush(self._heap, (max(when, self.now), self._number, loop, handle))

    def push_ready(self, loop: ProcessLoop, handle: Handle) -> None:
        """Schedule a process's callback for the present time, after all callbacks that are ready already."""
        self._ready.append((loop, handle))

    def run_until(self, end: float) -> None:
        """Run all events up to a time, or until ``is_stopped`` is set."""
        heap, ready = self._heap, self._ready
        while not self.is_stopped:
            if ready:
                loop, handle = ready.popleft()
                loop.run_handle(handle)
                continue
            if not heap or heap[0][0] > end:
                self.now = end
                return
            self.now, _, owner, what = heapq.heappop(heap)
            if owner is None:
                what()
            else:
                owner.run_handle(what)


class ProcessLoop(asyncio.AbstractEventLoop):
    """The event loop of one process, with its own steady clock; it can be frozen, and killed at once."""

    def __init__(self, scheduler: Scheduler, name: str, offset: float = 0.0, rate: float = 1.0) -> None:
        self.scheduler, self.name = scheduler, name
        self._offset, self._rate = offset, rate
        self.is_dead = self.is_frozen = False
        self._deferred: list[Handle] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self.errors: list[str] = []
        self.network: Any = None  # set by ``process_loop``
        self.ip = ""

    # State of the process.

    def freeze(self) -> None:
        """Run nothing until ``thaw``; the steady clock continues."""
        self.is_frozen = True

    def thaw(self) -> None:
        """Run the callbacks that became due meanwhile, and continue."""
        self.is_frozen = False
        deferred, self._deferred = self._deferred, []
        for handle in deferred:
            self.scheduler.push_ready(self, handle)

    def kill(self) -> None:
        """Run nothing ever again."""
        self.is_dead = True
        self._deferred = []

    def discard(self) -> None:
        """Suppress warnings about pending tasks, once the run is over."""
        self.is_dead = True
        for task in self._tasks:
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            coroutine = task.get_coro()
            if inspect.iscoroutine(coroutine) and inspect.getcoroutinestate(coroutine) == inspect.CORO_CREATED:
                coroutine.close()
        self._tasks.clear()

    def run_handle(self, handle: Handle) -> None:
        """Run one callback inside this loop."""
        if self.is_dead or handle.is_cancelled:
            return
        if self.is_frozen:
            self._deferred.append(handle)
            return
        events._set_running_loop(self)
        try:
            handle.run()
        except Exception as error:
            self.call_exception_handler({"message": "a callback raised", "exception": error})
        finally:
            events._set_running_loop(None)

    # The interface of an asyncio event loop.

    def time(self) -> float:
        return self._offset + self.scheduler.now * self._rate

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return not self.is_dead

    def is_closed(self) -> bool:
        return False

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> Handle:
        handle = Handle(callback, args)
        self.scheduler.push_ready(self, handle)
        return handle

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> Handle:
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> Handle:
        timer = Handle(callback, args, when)
        self.scheduler.push_timer((when - self._offset) / self._rate, self, timer)
        return timer

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(
        self, coro: Coroutine[Any, Any, T] | Generator[Any, None, T], *, name: str | None = None, context: Any = None
    ) -> asyncio.Task[T]:
        task: asyncio.Task[T] = asyncio.Task(coro, loop=self, name=name or "task", context=context)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if not self.is_dead:
            self.errors.append(f"{self.name}: {context.get('message')}: {context.get('exception')!r}")

    def run_in_executor(self, executor: Any, func: Callable[..., T], *args: Any) -> asyncio.Future[T]:  # type: ignore[override]
        future: asyncio.Future[T] = self.create_future()

        def run() -> None:
            if future.done():
                return
            try:
                future.set_result(func(*args))
            except Exception as error:
                future.set_exception(error)

        self.call_later(EXECUTOR_DELAY_S, run)
        return future

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int, *, local_addr: tuple[str, int] | None = None
    ) -> tuple[Any, Any]:
        made: tuple[Any, Any] = await self.network.connect(
            self, protocol_factory, local_addr[0] if local_addr else self.ip, host, port
        )
        return made

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int, **_options: Any
    ) -> Any:
        return self.network.listen(self, protocol_factory, host, port)


def process_loop(
    scheduler: Scheduler, network: Any, name: str, ip: str, offset: float = 0.0, rate: float = 1.0
) -> ProcessLoop:
    """Return a loop for a new process at an address; it lacks signals, pipes and files, which nothing here uses."""
    loop = ProcessLoop(scheduler, name, offset, rate)  # type: ignore[abstract]
    loop.network, loop.ip = network, ip
    return loop
