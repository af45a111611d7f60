"""Run a scenario on sockets: start all processes, hand out their parts, apply proxy faults, and collect the records.

All processes listen on addresses in 127.0.0.0/8. Each host and proxy has an address of its own, so that an outgoing
connection can't take the port that a restarted process needs again.
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

START_LEAD_US = 400_000  # time between announcing the start and the start
SAMPLE_INTERVAL_S = 0.5
READY_TIMEOUT_S = 30.0  # the run fails if a process isn't ready by then
STOP_TIMEOUT_S = 10.0
EMULATED_PORT = 8000


class RunError(RuntimeError):
    """Raised when a run is impossible because a process exited or did not become ready."""


@dataclass(slots=True, eq=False)
class _Child:
    """A process of the laboratory (hosts, load or discovery)."""

    name: str
    process: asyncio.subprocess.Process
    ready: dict[str, Any] = field(default_factory=dict)

    async def line(self, within: float) -> Any:
        """Return the next line of output, decoded; raise RunError if the process has exited."""
        assert self.process.stdout is not None
        async with asyncio.timeout(within):
            line = await self.process.stdout.readline()
        if not line:
            raise RunError(f"{self.name} exited: {await self._errors()}")
        return msgspec.json.decode(line)

    async def _errors(self) -> str:
        assert self.process.stderr is not None
        return (await self.process.stderr.read()).decode(errors="replace").strip().splitlines()[-1:][0]

    def tell(self, line: bytes) -> None:
        """Send a line to the process; ignore that it has exited."""
        assert self.process.stdin is not None
        with contextlib.suppress(ConnectionError):
            self.process.stdin.write(line + b"\n")


@dataclass(slots=True, eq=False)
class _Proxy:
    """A proxy under test: a process of the real program."""

    plan: ProxyPlan
    environ: dict[str, str]
    address: Address = ("", 0)
    process: asyncio.subprocess.Process | None = None
    is_stop_expected: bool = False  # whether a stop now is part of the plan


class Run:
    """One run of a scenario; all files that it writes are in ``folder``."""

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        beside: Path | None = None,
        progress: Callable[[Progress], None] = lambda _: None,
        proxy: Sequence[str] = (),
    ) -> None:
        """``proxy``: interpreter arguments that start a proxy, instead of those of the scenario's policy."""
        self._scenario, self._folder, self._beside, self._progress = scenario, folder, beside, progress
        policy = scenario.policy
        self._command = list(proxy) or (
            ["-m", "cranebank"] if policy == "cranebank" else ["-m", "cranebank.lab.reference", policy]
        )
        self._plan: Plan = plan(scenario)
        if self._plan.cuts or policy == "oracle":
            raise ConfigError(f"{scenario.name}: partitions and the policy oracle are supported in simulated time only")
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
        """Run the scenario and write its result to ``result.json`` beside the records."""
        self._folder.mkdir(parents=True, exist_ok=True)
        for old in self._folder.glob("records-*.jsonl"):
            old.unlink()
        self._writer = records.Writer(self._folder / "records-run.jsonl")
        try:
            await self._start()
            generator = next(c for c in self._children if c.name == "load")
            while True:
                line = await generator.line(self._scenario.seconds + 120.0)
                if "done" in line:
                    break
                self._progress(msgspec.convert(line, Progress))
            if self._restarts:  # a restart in progress counts, however long the old process took to exit
                await asyncio.wait(self._restarts, timeout=READY_TIMEOUT_S)
            await self._save_counters()
        finally:
            await self._stop_all()
        return self._result()

    def _result(self) -> Result:
        found = records.read(sorted(self._folder.glob("records-*.jsonl")))
        result = summarise(self._scenario, found, judge(self._scenario, self._plan, found))
        (self._folder / "result.json").write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))
        return result

    # Starting.

    async def _start(self) -> None:
        await self._start_children(0)
        await asyncio.gather(*(self._launch(proxy) for proxy in self._proxies))
        self._send_start()
        for fault in self._plan.proxy_faults:
            self._restarts.append(self._spawn(self._apply_fault(fault)))
        self._spawn(self._sample_usage())

    async def emulate(self, seconds: float, say: Callable[[str], None]) -> None:
        """Run hosts and discovery without load for ``seconds``, for proxies that are started by hand."""
        self._folder.mkdir(parents=True, exist_ok=True)
        self._writer = records.Writer(self._folder / "records-run.jsonl")
        try:
            await self._start_children(EMULATED_PORT, clients=False)
            self._send_start()
            for proxy in self._proxies:
                ip, port = proxy.address
                say(f"{proxy.plan.name}: GW_CONFIG={proxy.environ['GW_CONFIG']} cranebank serve   # at {ip}:{port}")
            await asyncio.sleep(seconds)
        finally:
            await self._stop_all()

    async def _start_children(self, proxy_port: int, clients: bool = True) -> None:
        """Start the hosts, the clients if wanted, and discovery; write the configuration of each proxy."""
        scenario, plan_, hosts = self._scenario, self._plan, dict[str, Address]()
        shares = [(tier, share, t.processes) for tier, t in enumerate(scenario.tiers) for share in range(t.processes)]
        addresses = {host.name: (next(self._ips), 0) for host in plan_.hosts}
        parts = [
            self._start_child(
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
            self._children.append(await self._start_child("load", "load"))
        discovery = await self._start_child("discovery", "discovery", addresses=hosts | ports)
        self._children.append(discovery)
        counts = [sum(p.tier == tier for p in plan_.proxies) for tier in range(len(scenario.tiers))]
        known = [
            [self._server_entry(h.name, h.zone, hosts) for h in plan_.hosts if h.tier == tier and not h.start]
            for tier in range(len(scenario.tiers))
        ]
        for number, proxy in enumerate(self._proxies):
            proxy_plan = proxy.plan
            ip, port = discovery.ready[proxy_plan.name]
            address = next(self._ips)
            proxy.address = (address, proxy_port)
            boot = {
                "name": proxy_plan.name,
                "listen": f"{address}:{proxy_port}",
                "discovery": f"{ip}:{port}",
                "seed": f"{(scenario.seed * 1_000_003 + number) & 0xFFFFFFFF:08x}",
                "limits": {"cores": 1.0, "memory_mb": scenario.limits.memory_mb, "sockets": scenario.limits.sockets},
                "known": {"version": 1, "full": True, "servers": known[proxy_plan.tier]},
                "settings": proxy_settings(scenario, proxy_plan, counts[proxy_plan.tier]),
            }
            path = self._folder / f"{proxy_plan.name}.json"
            path.write_bytes(msgspec.json.encode(boot))
            clean = {name: value for name, value in os.environ.items() if not name.startswith(("GW_", "CRANEBANK_"))}
            subset = {
                f"CRANEBANK_SUBSET_{key.upper()}": str(getattr(scenario.subset, key))
                for key in ("size", "from_hosts", "cover")
            }
            proxy.environ = clean | subset | {"GW_CONFIG": str(path)}

    def _send_start(self) -> None:
        go = Go(at=now_us() + START_LEAD_US, proxies={p.plan.name: p.address for p in self._proxies})
        self._t0 = go.at
        for proxy in self._proxies:
            self._record_state(proxy, "ready")
        for child in self._children:
            child.tell(msgspec.json.encode(go))

    def _server_entry(self, name: str, zone: int, hosts: dict[str, Address]) -> dict[str, Any]:
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

    async def _start_child(self, module: str, name: str, **more: Any) -> _Child:
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
            env=_child_environ(),
        )
        child = _Child(name, process)
        child.ready = await child.line(READY_TIMEOUT_S)
        return child

    async def _launch(self, proxy: _Proxy) -> None:
        """Start a proxy and wait until it reports ready."""
        with open(self._folder / f"{proxy.plan.name}.log", "ab") as log:
            proxy.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._command,
                env=_child_environ(proxy.environ),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=asyncio.subprocess.PIPE,
                limit=1 << 20,
            )
        proxy.is_stop_expected = False
        assert proxy.process.stderr is not None
        async with asyncio.timeout(READY_TIMEOUT_S):
            line = (await proxy.process.stderr.readline()).decode()
        if "listening on" not in line:
            raise RunError(f"{proxy.plan.name} did not start: expected its listen address, got: {line.strip()}")
        ip, _, port = line.split()[-1].rpartition(":")
        proxy.address = (ip, int(port))
        # A restarted proxy listens on the same address.
        path = Path(proxy.environ["GW_CONFIG"])
        boot = msgspec.json.decode(path.read_bytes())
        path.write_bytes(msgspec.json.encode(boot | {"listen": f"{ip}:{port}"}))
        self._spawn(self._copy_log(proxy, proxy.process))
        await self._wait_until_ready(proxy)

    async def _copy_log(self, proxy: _Proxy, process: asyncio.subprocess.Process) -> None:
        """Copy a proxy's log to its file, and record how the process ends."""
        assert process.stderr is not None
        with open(self._folder / f"{proxy.plan.name}.log", "ab") as log:
            while line := await process.stderr.readline():
                log.write(line)
        code = await process.wait()
        if not proxy.is_stop_expected:
            self._record_state(proxy, "crashed")
        elif proxy.process is process:
            self._record_state(proxy, "killed" if code == -signal.SIGKILL else "ended")

    @staticmethod
    async def _get(proxy: _Proxy, target: str) -> tuple[int, bytes]:
        """Return the status and the start of the body; status 0 if no answer arrived."""
        got: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        data = f"GET {target} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n".encode()
        pending = Pool().ask(proxy.address, data, "", 0, got.set_result)
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                return (await got).status, pending.body_start
        except TimeoutError:
            return 0, b""
        finally:  # also if the run is cancelled
            pending.cancel()

    async def _save_counters(self) -> None:
        """Save the counters of each proxy to ``counters.json``."""
        found = {}
        for proxy in self._proxies:
            if proxy.process is not None and proxy.process.returncode is None:
                _, body = await self._get(proxy, "/-/counters")
                with contextlib.suppress(msgspec.DecodeError):
                    found[proxy.plan.name] = msgspec.json.decode(body)
        (self._folder / "counters.json").write_bytes(msgspec.json.encode(found))

    async def _wait_until_ready(self, proxy: _Proxy) -> None:
        until = time.monotonic() + READY_TIMEOUT_S
        while True:
            if (await self._get(proxy, "/-/ready"))[0] == 200:
                return
            if time.monotonic() > until:
                raise RunError(f"{proxy.plan.name} was not ready within {READY_TIMEOUT_S:g} s")
            await asyncio.sleep(0.02)

    # During the run.

    def _spawn(self, work: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _record_state(self, proxy: _Proxy, state: str) -> None:
        self._writer.write(
            records.ProxyStateChange(now_us() - self._t0 if self._t0 else records.NEVER, proxy.plan.name, state)
        )

    async def _apply_fault(self, fault: ProxyFault) -> None:
        """Kill or terminate a proxy and start it again, at the times of the fault."""
        proxy = next(p for p in self._proxies if p.plan.name == fault.proxy)
        await asyncio.sleep(max(0, self._t0 + fault.at - now_us()) / 1e6)
        process = proxy.process
        assert process is not None
        proxy.is_stop_expected = True
        if fault.hard:
            process.kill()
        else:
            self._record_state(proxy, "stopping")
            process.terminate()
        await process.wait()
        await asyncio.sleep(max(0, self._t0 + fault.until - now_us()) / 1e6)
        await self._launch(proxy)
        self._record_state(proxy, "ready")

    async def _sample_usage(self) -> None:
        """Record CPU, memory and descriptors of each process at each interval."""
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
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    # Stopping.

    async def _stop_all(self) -> None:
        """Stop all processes that this run started, by process id, also after a failure."""
        for proxy in self._proxies:
            proxy.is_stop_expected = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for child in self._children:
            child.tell(b"end")
        async with asyncio.TaskGroup() as group:
            for child in self._children:
                group.create_task(self._wait_or_kill(child.process))
        for proxy in self._proxies:
            if proxy.process is not None and proxy.process.returncode is None:
                proxy.process.kill()
                await proxy.process.wait()
        self._writer.close()

    async def _wait_or_kill(self, process: asyncio.subprocess.Process) -> None:
        with contextlib.suppress(TimeoutError, RunError):
            async with asyncio.timeout(STOP_TIMEOUT_S):
                assert process.stdout is not None
                while await process.stdout.readline():
                    pass
                await process.wait()
                return
        process.kill()
        await process.wait()


def _child_environ(environ: dict[str, str] | None = None) -> dict[str, str]:
    """Return the environment of a child process, with the package on PYTHONPATH whatever the working directory."""
    root = str(Path(__file__).parents[2])
    base = dict(os.environ if environ is None else environ)
    base["PYTHONPATH"] = os.pathsep.join(filter(None, (root, base.get("PYTHONPATH", ""))))
    return base


def play(
    scenario: Scenario, folder: Path, beside: Path | None = None, progress: Callable[[Progress], None] = lambda _: None
) -> Result:
    """Run a scenario on sockets; block until it is over."""
    return asyncio.run(Run(scenario, folder, beside, progress).play())
