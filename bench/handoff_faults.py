"""Stops, kills or freezes a router while streams are handed off, with real processes.

One router gets all callers, two more are its idle peers, and stand-ins serve as store
and upstreams. Prints how the streams ended, and how often each was run.

    python bench/handoff_faults.py stop|kill|freeze|none busy|peer
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import aiohttp

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from carobstair.platform.boot import BOOT_VARIABLE  # noqa: E402
from platform_standins import (  # noqa: E402
    StoreStandIn,
    UpstreamStandIn,
    make_config,
    make_upstream_entry,
)
from test_boot import BOOT, free_ports  # noqa: E402

ROUTERS, UPSTREAMS = 3, 3
EVENTS, EVENT_INTERVAL_S = 30, 0.03
REQUEST_INTERVAL_S = 0.002
START_S, FAULT_S, END_S = 5.0, 7.0, 14.0
SIGNALS = {"stop": signal.SIGTERM, "kill": signal.SIGKILL, "freeze": signal.SIGSTOP}
SEEDS = 'seedNodes = ["127.0.0.1:9", "127.0.0.2:9"]'


class StreamingUpstream(UpstreamStandIn):
    """Answers with events, and counts how often each request is run."""

    def __init__(self, runs):
        super().__init__(iter(()))
        self.runs = runs

    async def respond(self, request, writer):
        """Send a stream."""
        self.runs[request.headers["carobstair-attempt-id"]] += 1
        writer.write(self._response_head(request, 200, ["Transfer-Encoding: chunked"]))
        for number in range(EVENTS):
            writer.write(self._event_chunk(number))
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        return True


async def start_router(number, folder, ports, store_port):
    """Start a router process with the hand-off on."""
    front, ready, peer = ports
    text = BOOT.format(
        peer=peer, last=peer + 15, front=front, ready=ready, store=store_port
    )
    text = text.replace("front-1", f"front-{number}").replace(
        "graceS = 3", "graceS = 6"
    )
    path = Path(folder) / f"{number}.toml"
    path.write_text(text.replace(SEEDS, 'seedNodes = []\ncontracts = ["pressure"]'))
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "carobstair.cli.router",
        env=os.environ | {BOOT_VARIABLE: str(path)},
        stdout=asyncio.subprocess.DEVNULL,
    )


async def call(session, url, request_id, runs):
    """Send a request; return how it ended."""
    headers = {
        "Host": "api.test",
        "Carobstair-Attempt-Id": request_id,
        "Carobstair-Key": "key1",
        "Carobstair-Deadline-Ms": "7000",
    }
    try:
        # The client repeats a GET whose connection ends without an answer.
        async with session.post(url, headers=headers) as response:
            body = await response.read()
    except aiohttp.ClientConnectorError:
        return "not connected"
    except aiohttp.ClientError as error:
        return f"broken off ({type(error).__name__})"
    if response.status != 200:
        return f"{response.status}, {'run' if runs[request_id] else 'not run'}"
    return "whole" if body.count(b"id: ") == EVENTS else "cut, and looks complete"


async def run_trial(fault, number):
    """Send streams to the first router, and end or freeze a router meanwhile."""
    store, runs = await StoreStandIn().start(), Counter()
    for upstream_number in range(UPSTREAMS):
        upstream = await StreamingUpstream(runs).start()
        entry = make_upstream_entry(upstream.port, slots=400)
        store.put("servers", f"u{upstream_number}", entry)
    config = make_config(services=[{"name": "plain", "maxConnections": 2000}])
    for route in config["routes"]:
        route["timeoutMs"] = 8000
    store.put("config", "main", config)
    ports = free_ports(3 * ROUTERS)
    connector = aiohttp.TCPConnector(limit=0)
    with tempfile.TemporaryDirectory() as folder:
        processes = [
            await start_router(n, folder, ports[3 * n : 3 * n + 3], store.port)
            for n in range(ROUTERS)
        ]
        await asyncio.sleep(START_S)
        async with aiohttp.ClientSession(connector=connector) as session:
            url, calls = f"http://127.0.0.1:{ports[0]}/stream/x", []
            began_s, faulted = time.monotonic(), fault == "none"
            while time.monotonic() - began_s < END_S:
                if processes[0].returncode is not None:
                    break
                call_number = f"q{len(calls)}"
                calls.append(asyncio.create_task(call(session, url, call_number, runs)))
                if not faulted and time.monotonic() - began_s > FAULT_S:
                    faulted = True
                    processes[number].send_signal(SIGNALS[fault])
                await asyncio.sleep(REQUEST_INTERVAL_S)
            ends = Counter(await asyncio.gather(*calls))
        for process in processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
    print(f"{fault}: {dict(ends)}; runs of a request: {dict(Counter(runs.values()))}")


def main():
    """Run one trial."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("fault", choices=[*SIGNALS, "none"])
    parser.add_argument("router", choices=["busy", "peer"])
    arguments = parser.parse_args()
    asyncio.run(run_trial(arguments.fault, int(arguments.router == "peer")))


if __name__ == "__main__":
    main()
