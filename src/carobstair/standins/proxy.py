"""Stand-in of a faulty network: a TCP proxy that can go silent, delay and cut."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

import cyclopts
import falcon
import falcon.asgi

from carobstair.net.http import HttpServer
from carobstair.standins.program import StandInSettings, serve_until_signal

__all__ = ["ProxySettings", "TcpProxy", "main"]

READ_BYTES = 65536


@cyclopts.Parameter(name="*")
@dataclass(frozen=True)
class ProxySettings(StandInSettings):
    """Where the proxy listens, forwards to and is controlled."""

    target_port: int = 0
    control_port: int = 0
    target_host: str = "127.0.0.1"


@dataclass(eq=False)
class _Link:
    client: asyncio.StreamWriter
    server: asyncio.StreamWriter | None = None
    silent: bool = False
    cut: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(eq=False)
class TcpProxy:
    """Forwards connections, with faults that tests switch on.

    Attributes
    ----------
    silence_new : bool
        Connections accepted from now on swallow all bytes.
    refuse_new : bool
        Connections are closed as soon as they are accepted.
    cut_answers : bool
        Connections are reset at the first byte from the target.
    delay_s : float
        Added before each piece of data, in both directions.
    """

    target_host: str
    target_port: int
    host: str = "127.0.0.1"
    port: int = 0
    silence_new: bool = False
    refuse_new: bool = False
    cut_answers: bool = False
    delay_s: float = 0.0
    accepted: int = 0
    _links: set[_Link] = field(default_factory=set)
    _tasks: set[asyncio.Task] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and cut all connections."""
        self._server.close()
        self.cut_open()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.wait_closed()

    def silence_open(self) -> None:
        """Swallow all further bytes of the connections that are open now."""
        for link in self._links:
            link.silent = True

    def cut_open(self) -> None:
        """Reset the connections that are open now."""
        for link in list(self._links):
            link.cut.set()
            for writer in (link.client, link.server):
                if writer is not None:
                    writer.transport.abort()

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._links)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        link = _Link(writer, silent=self.silence_new)
        self._links.add(link)
        try:
            if not self.refuse_new:
                await self._forward(link, reader)
        except OSError:
            pass
        finally:
            self._links.discard(link)
            for side in (link.client, link.server):
                if side is not None:
                    side.close()

    async def _forward(self, link: _Link, reader: asyncio.StreamReader) -> None:
        server_reader, link.server = await asyncio.open_connection(
            self.target_host, self.target_port
        )
        pipes = {
            asyncio.create_task(self._pipe(link, reader, link.server)),
            asyncio.create_task(self._pipe(link, server_reader, link.client)),
            asyncio.create_task(link.cut.wait()),
        }
        try:
            await asyncio.wait(pipes, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pipe in pipes:
                pipe.cancel()
            await asyncio.gather(*pipes, return_exceptions=True)

    async def _pipe(
        self, link: _Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.cut_answers and writer is link.client:
                    writer.transport.abort()
                    return
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not link.silent:
                    writer.write(data)
                    await writer.drain()
        if link.silent:
            # A silent path does not tell one side that the other has closed.
            await link.cut.wait()


class _Control:
    def __init__(self, proxy: TcpProxy):
        self._proxy = proxy

    async def on_get(self, req, resp) -> None:
        resp.media = {
            "open": self._proxy.open_count,
            "accepted": self._proxy.accepted,
        }

    async def on_put(self, req, resp) -> None:
        document = await req.get_media()
        if document.pop("silence_open", False):
            self._proxy.silence_open()
        if document.pop("cut_open", False):
            self._proxy.cut_open()
        for key, value in document.items():
            setattr(self._proxy, key, value)


async def _run(settings: ProxySettings) -> None:
    proxy = TcpProxy(
        settings.target_host, settings.target_port, settings.host, settings.port
    )
    await proxy.start()
    app = falcon.asgi.App()
    app.add_route("/control", _Control(proxy))
    await serve_until_signal(HttpServer(app, settings.host, settings.control_port))
    await proxy.close()


def main() -> None:
    """Run the stand-in as a program."""

    def program(settings: ProxySettings) -> None:
        asyncio.run(_run(settings))

    program.__annotations__ = {"settings": ProxySettings, "return": None}
    cyclopts.run(program)


if __name__ == "__main__":
    main()
