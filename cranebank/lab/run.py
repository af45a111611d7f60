"""One run on sockets: starts every process, gives them their parts, keeps the time, gathers what they wrote.

Everything is on addresses in 127.0.0.0/8, each host and proxy with one of its own: a port that a restart
needs again can't have been taken by an outgoing connection meanwhile.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import signal
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import psutil

from cranebank.config.checks import ConfigError
from cranebank.lab import records
from cranebank.lab.child import Address, Go, Part
from cranebank.lab.exchange import Pool, now_us
from cranebank.lab.judge import judge
from cranebank.lab.load import Progress
from cranebank.lab.plan import Plan, ProxyFault, ProxyPlan, plan
from cranebank.lab.results import Result, summarise
from cranebank.lab.scenario import Scenario
from cranebank.lab.settings import proxy_settings
from cranebank.lab.stage import Reply

LEAD = 400_000  # from telling the start to the start
SAMPLE_S = 0.5
READY_S = 30.0  # a process that isn't ready by then ends the run
END_S = 10.0
EMULATED_PORT = 8000


class RunError(RuntimeError):
    """A run that could not be made: a process ended or was not ready."""


@dataclass(slots=True, eq=False)
class _Child:
    """A process of the laboratory's own."""

    name: str
    process: asyncio.subprocess.Process
    ready: dict[str, Any] = field(default_factory=dict)

    async def line(self, within: float) -> Any:
        """Its next line."""
        assert self.process.stdout is not None
        async with asyncio.timeout(within):
            line = await self.process.stdout.readline()
        if not line:
            raise RunError(f"{self.name} ended: {await self._errors()}")
        return msgspec.json.decode(line)

    async def _errors(self) -> str:
        assert self.process.stderr is not None
        return (await self.process.stderr.read()).decode(errors="replace").strip().splitlines()[-1:][0]

    def tell(self, line: bytes) -> None:
        """A line to it."""
        assert self.process.stdin is not None
        with contextlib.suppress(ConnectionError):
            self.process.stdin.write(line + b"\n")


@dataclass(slots=True, eq=False)
class _Proxy:
    """A proxy under test: the program itself."""

    plan: ProxyPlan
    environ: dict[str, str]
    address: Address = ("", 0)
    process: asyncio.subprocess.Process | None = None
    expected: bool = False  # it is meant to end


class Run:
    """One run of a scenario, with everything it writes in ``folder``."""

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        beside: Path | None = None,
        progress: Callable[[Progress], None] = lambda _: None,
        proxy: Sequence[str] = (),
    ) -> None:
        """``proxy``: the words after the interpreter's that start a proxy, where it isn't the scenario's policy."""
        self._scenario, self._folder, self._beside, self._progress = scenario, folder, beside, progress
        policy = scenario.policy
        self._words = list(proxy) or (
            ["-m", "cranebank"] if policy == "cranebank" else ["-m", "cranebank.lab.reference", policy]
        )
        self._plan: Plan = plan(scenario)
        if self._plan.cuts or policy == "oracle":
            raise ConfigError(f"{scenario.name}: a partition and the policy oracle are there in simulated time only")
        self._children: list[_Child] = []
        self._proxies = [_Proxy(p, {}) for p in self._plan.proxies]
        self._tasks: set[asyncio.Task[None]] = set()
        self._restarts: list[asyncio.Task[None]] = []
        self._writer: records.Writer
        self._t0 = 0
        block = (os.getpid() * 2654435761 + time.monotonic_ns()) & 0x1FFF
        self._ips = (
            f"127.{64 + (block >> 8)}.{(block & 0xFF)}.{n}"
            if n < 255
            else f"127.{96 + (block >> 8)}.{n // 250}.{n % 250 + 1}"
            for n in itertools.count(1)
        )

    async def play(self) -> Result:
        """Play it; the result is written as ``result.json`` beside the records."""
        self._folder.mkdir(parents=True, exist_ok=True)
        for old in self._folder.glob("records-*.jsonl"):
            old.unlink()
        self._writer = records.Writer(self._folder / "records-run.jsonl")
        try:
            await self._start()
            generator = next(c for c in self._children if c.name == "load")
            while True:
                told = await generator.line(self._scenario.seconds + 120.0)
                if "done" in told:
                    break
                self._progress(msgspec.convert(told, Progress))
            if self._restarts:  # one that is still on its way counts, too, however long the old process took to end
                await asyncio.wait(self._restarts, timeout=READY_S)
            await self._counters()
        finally:
            await self._end()
        return self._result()

    def _result(self) -> Result:
        found = records.read(sorted(self._folder.glob("records-*.jsonl")))
        result = summarise(self._scenario, found, judge(self._scenario, self._plan, found))
        (self._folder / "result.json").write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))
        return result

    # Starting.

    async def _start(self) -> None:
        await self._prepare(0)
        await asyncio.gather(*(self._launch(proxy) for proxy in self._proxies))
        self._go()
        for fault in self._plan.proxy_faults:
            self._restarts.append(self._spawn(self._suffer(fault)))
        self._spawn(self._sample())

    async def emulate(self, seconds: float, say: Callable[[str], None]) -> None:
        """Hosts and discovery alone, for proxies that somebody else starts; no load. Ends by itself."""
        self._folder.mkdir(parents=True, exist_ok=True)
        self._writer = records.Writer(self._folder / "records-run.jsonl")
        try:
            await self._prepare(EMULATED_PORT, clients=False)
            self._go()
            for proxy in self._proxies:
                ip, port = proxy.address
                say(f"{proxy.plan.name}: GW_CONFIG={proxy.environ['GW_CONFIG']} cranebank serve   # at {ip}:{port}")
            await asyncio.sleep(seconds)
        finally:
            await self._end()

    async def _prepare(self, port_of_proxies: int, clients: bool = True) -> None:
        """Start hosts, clients if they are wanted, and discovery, and write each proxy's configuration."""
        scenario, plan_, hosts = self._scenario, self._plan, dict[str, Address]()
        shares = [(tier, share, t.processes) for tier, t in enumerate(scenario.tiers) for share in range(t.processes)]
        addresses = {host.name: (next(self._ips), 0) for host in plan_.hosts}
        parts = [
            self._child(
                "hosts",
                f"hosts-{scenario.tiers[tier].name}-{share}",
                addresses=addresses,
                tier=tier,
                share=share,
                of=of,
            )
            for tier, share, of in shares
        ]
        self._children += await asyncio.gather(*parts)
        for child in self._children:
            hosts |= {name: (ip, port) for name, (ip, port) in child.ready.items()}
        ports = {proxy.name: ("127.0.0.1", 0) for proxy in plan_.proxies}
        if clients:
            self._children.append(await self._child("load", "load"))
        discovery = await self._child("discovery", "discovery", addresses=hosts | ports)
        self._children.append(discovery)
        counts = [sum(p.tier == tier for p in plan_.proxies) for tier in range(len(scenario.tiers))]
        known = [
            [self._entry(h.name, h.zone, hosts) for h in plan_.hosts if h.tier == tier and not h.start]
            for tier in range(len(scenario.tiers))
        ]
        for number, proxy in enumerate(self._proxies):
            mine = proxy.plan
            ip, port = discovery.ready[mine.name]
            address = next(self._ips)
            proxy.address = (address, port_of_proxies)
            told = {
                "name": mine.name,
                "listen": f"{address}:{port_of_proxies}",
                "discovery": f"{ip}:{port}",
                "seed": f"{(scenario.seed * 1_000_003 + number) & 0xFFFFFFFF:08x}",
                "limits": {"cores": 1.0, "memory_mb": scenario.limits.memory_mb, "sockets": scenario.limits.sockets},
                "known": {"version": 1, "full": True, "servers": known[mine.tier]},
                "settings": proxy_settings(scenario, mine, counts[mine.tier]),
            }
            path = self._folder / f"{mine.name}.json"
            path.write_bytes(msgspec.json.encode(told))
            clean = {name: value for name, value in os.environ.items() if not name.startswith(("GW_", "CRANEBANK_"))}
            subset = {
                f"CRANEBANK_SUBSET_{key.upper()}": str(getattr(scenario.subset, key))
                for key in ("size", "from_hosts", "cover")
            }
            proxy.environ = clean | subset | {"GW_CONFIG": str(path)}

    def _go(self) -> None:
        go = Go(at=now_us() + LEAD, proxies={p.plan.name: p.address for p in self._proxies})
        self._t0 = go.at
        for proxy in self._proxies:
            self._life(proxy, "ready")
        for child in self._children:
            child.tell(msgspec.json.encode(go))

    def _entry(self, name: str, zone: int, hosts: dict[str, Address]) -> dict[str, Any]:
        ip, port = hosts[name]
        return {
            "id": name,
            "addr": f"{ip}:{port}",
            "zone": self._scenario.zones[zone],
            "kind": "",
            "cell": 0,
            "state": "SERVING",
            "weight": 1.0,
            "started_ms": 0,
        }

    async def _child(self, module: str, name: str, **more: Any) -> _Child:
        part = Part(
            scenario=self._scenario,
            plan=self._plan,
            records=str(self._folder / f"records-{name}.jsonl"),
            beside=str(self._beside or ""),
            **more,
        )
        path = self._folder / f"part-{name}.json"
        path.write_bytes(msgspec.json.encode(part))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"cranebank.lab.{module}",
            str(path),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            limit=1 << 22,
            env=_environ(),
        )
        child = _Child(name, process)
        child.ready = await child.line(READY_S)
        return child

    async def _launch(self, proxy: _Proxy) -> None:
        """Start a proxy and wait until it is ready."""
        with open(self._folder / f"{proxy.plan.name}.log", "ab") as log:
            proxy.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._words,
                env=_environ(proxy.environ),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=asyncio.subprocess.PIPE,
                limit=1 << 20,
            )
        proxy.expected = False
        assert proxy.process.stderr is not None
        async with asyncio.timeout(READY_S):
            line = (await proxy.process.stderr.readline()).decode()
        if "listening on" not in line:
            raise RunError(f"{proxy.plan.name} did not start: {line.strip()}")
        ip, _, port = line.split()[-1].rpartition(":")
        proxy.address = (ip, int(port))
        # Its address is kept over restarts.
        path = Path(proxy.environ["GW_CONFIG"])
        told = msgspec.json.decode(path.read_bytes())
        path.write_bytes(msgspec.json.encode(told | {"listen": f"{ip}:{port}"}))
        self._spawn(self._drain_log(proxy, proxy.process))
        await self._ready(proxy)

    async def _drain_log(self, proxy: _Proxy, process: asyncio.subprocess.Process) -> None:
        """Keep a proxy's log, and note when it ends."""
        assert process.stderr is not None
        with open(self._folder / f"{proxy.plan.name}.log", "ab") as log:
            while line := await process.stderr.readline():
                log.write(line)
        code = await process.wait()
        if not proxy.expected:
            self._life(proxy, "crashed")
        elif proxy.process is process:
            self._life(proxy, "killed" if code == -signal.SIGKILL else "ended")

    @staticmethod
    async def _ask(proxy: _Proxy, target: str) -> tuple[int, bytes]:
        """Status and the beginning of the body; 0 where nothing came."""
        got: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        data = f"GET {target} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n".encode()
        pending = Pool().ask(proxy.address, data, "", 0, got.set_result)
        try:
            async with asyncio.timeout(READY_S):
                return (await got).status, pending.body_start
        except TimeoutError:
            return 0, b""
        finally:  # also where the run was cancelled: nobody waits any more
            pending.leave()

    async def _counters(self) -> None:
        """Keep what each proxy has counted."""
        found = {}
        for proxy in self._proxies:
            if proxy.process is not None and proxy.process.returncode is None:
                _, body = await self._ask(proxy, "/-/counters")
                with contextlib.suppress(msgspec.DecodeError):
                    found[proxy.plan.name] = msgspec.json.decode(body)
        (self._folder / "counters.json").write_bytes(msgspec.json.encode(found))

    async def _ready(self, proxy: _Proxy) -> None:
        until = time.monotonic() + READY_S
        while True:
            if (await self._ask(proxy, "/-/ready"))[0] == 200:
                return
            if time.monotonic() > until:
                raise RunError(f"{proxy.plan.name} was not ready in {READY_S:g} s")
            await asyncio.sleep(0.02)

    # While it runs.

    def _spawn(self, work: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _life(self, proxy: _Proxy, state: str) -> None:
        self._writer.write(records.Life(now_us() - self._t0 if self._t0 else records.NEVER, proxy.plan.name, state))

    async def _suffer(self, fault: ProxyFault) -> None:
        """Kill a proxy, or tell it to stop, and start it again."""
        proxy = next(p for p in self._proxies if p.plan.name == fault.proxy)
        await asyncio.sleep(max(0, self._t0 + fault.at - now_us()) / 1e6)
        process = proxy.process
        assert process is not None
        proxy.expected = True
        if fault.hard:
            process.kill()
        else:
            self._life(proxy, "stopping")
            process.terminate()
        await process.wait()
        await asyncio.sleep(max(0, self._t0 + fault.until - now_us()) / 1e6)
        await self._launch(proxy)
        self._life(proxy, "ready")

    async def _sample(self) -> None:
        """What each process uses, twice a second."""
        known: dict[int, psutil.Process] = {}
        while True:
            processes = [(c.name, c.process.pid) for c in self._children]
            processes += [
                (p.plan.name, p.process.pid)
                for p in self._proxies
                if p.process is not None and p.process.returncode is None
            ]
            for name, pid in processes:
                with contextlib.suppress(psutil.Error):
                    process = known.setdefault(pid, psutil.Process(pid))
                    used = process.cpu_percent() / 100.0
                    if used or name.startswith("load"):
                        self._writer.write(
                            records.Sample(
                                now_us() - self._t0,
                                name,
                                used,
                                process.memory_info().rss / (1 << 20),
                                process.num_fds(),
                            )
                        )
            self._writer.flush()
            await asyncio.sleep(SAMPLE_S)

    # The end.

    async def _end(self) -> None:
        """End what was started, by its id; nothing is left behind, whatever happened."""
        for proxy in self._proxies:
            proxy.expected = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for child in self._children:
            child.tell(b"end")
        async with asyncio.TaskGroup() as group:
            for child in self._children:
                group.create_task(self._finish(child.process))
        for proxy in self._proxies:
            if proxy.process is not None and proxy.process.returncode is None:
                proxy.process.kill()
                await proxy.process.wait()
        self._writer.close()

    async def _finish(self, process: asyncio.subprocess.Process) -> None:
        with contextlib.suppress(TimeoutError, RunError):
            async with asyncio.timeout(END_S):
                assert process.stdout is not None
                while await process.stdout.readline():
                    pass
                await process.wait()
                return
        process.kill()
        await process.wait()


def _environ(environ: dict[str, str] | None = None) -> dict[str, str]:
    """For the processes of a run: they find the package wherever the runner stands."""
    root = str(Path(__file__).parents[2])
    base = dict(os.environ if environ is None else environ)
    base["PYTHONPATH"] = os.pathsep.join(filter(None, (root, base.get("PYTHONPATH", ""))))
    return base


def play(
    scenario: Scenario, folder: Path, beside: Path | None = None, progress: Callable[[Progress], None] = lambda _: None
) -> Result:
    """Play a scenario on sockets; blocks until it is over."""
    return asyncio.run(Run(scenario, folder, beside, progress).play())
