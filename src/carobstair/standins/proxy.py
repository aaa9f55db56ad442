"""TCP proxy that simulates a faulty network: lost data, delays and resets."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass, field

import cyclopts
import falcon
import falcon.asgi

from carobstair.net.http import HttpServer
from carobstair.standins.program import StandInSettings, serve_until_signal

__all__ = ["ProxySettings", "TcpProxy", "main", "reset_connection"]

READ_BYTES = 65536


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, where an abort alone may end it cleanly."""
    sock = writer.get_extra_info("socket")
    if not writer.transport.is_closing():
        no_linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


@cyclopts.Parameter(name="*")
@dataclass(frozen=True)
class ProxySettings(StandInSettings):
    """Listening address, target and control port of the proxy."""

    target_port: int = 0
    control_port: int = 0
    target_host: str = "127.0.0.1"


@dataclass(eq=False)
class _Connection:
    client: asyncio.StreamWriter
    server: asyncio.StreamWriter | None = None
    silent: bool = False
    aborted: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(eq=False)
class TcpProxy:
    """Forwards connections, with faults that tests enable.

    Attributes
    ----------
    silence_new : bool
        Connections accepted from now on discard all data.
    cut_answers : bool
        Connections are reset at the first byte from the target.
    delay_s : float
        Delay before each chunk of data is forwarded, in both directions.
    """

    target_host: str
    target_port: int
    host: str = "127.0.0.1"
    port: int = 0
    silence_new: bool = False
    cut_answers: bool = False
    delay_s: float = 0.0
    accepted: int = 0
    _connections: set[_Connection] = field(default_factory=set)
    _tasks: set[asyncio.Task] = field(default_factory=set)
    _server: asyncio.Server | None = None
    # Keeps the port while connections are refused.
    _reserved: socket.socket | None = None

    async def start(self) -> None:
        """Start listening; `port` is then the actual port."""
        listener = self._bind()
        self._server = await asyncio.start_server(self._serve, sock=listener)
        self.port = listener.getsockname()[1]
        self._release()

    @property
    def refuses(self) -> bool:
        """Whether new connections are refused."""
        return self._reserved is not None

    def refuse(self) -> None:
        """Refuse new connections until the next start, as if nothing listened."""
        if self._reserved is None:
            self._reserved = self._bind()
            self._server.close()

    def _bind(self) -> socket.socket:
        bound = socket.socket()
        # Allows to bind the port again before it is given up.
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((self.host, self.port))
        return bound

    def _release(self) -> None:
        if self._reserved is not None:
            self._reserved.close()
            self._reserved = None

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self._release()
        self.cut_open()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.wait_closed()

    def silence_open(self) -> None:
        """Discard all further data of the connections that are open now."""
        for connection in self._connections:
            connection.silent = True

    def cut_open(self) -> None:
        """Reset the connections that are open now."""
        for connection in list(self._connections):
            connection.aborted.set()
            for writer in (connection.client, connection.server):
                if writer is not None:
                    reset_connection(writer)

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        connection = _Connection(writer, silent=self.silence_new)
        self._connections.add(connection)
        try:
            await self._forward(connection, reader)
        except OSError:
            pass
        finally:
            self._connections.discard(connection)
            for side in (connection.client, connection.server):
                if side is not None:
                    side.close()

    async def _forward(
        self, connection: _Connection, reader: asyncio.StreamReader
    ) -> None:
        server_reader, connection.server = await asyncio.open_connection(
            self.target_host, self.target_port
        )
        pipes = {
            asyncio.create_task(self._pipe(connection, reader, connection.server)),
            asyncio.create_task(
                self._pipe(connection, server_reader, connection.client)
            ),
            asyncio.create_task(connection.aborted.wait()),
        }
        try:
            await asyncio.wait(pipes, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pipe in pipes:
                pipe.cancel()
            await asyncio.gather(*pipes, return_exceptions=True)

    async def _pipe(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.cut_answers and writer is connection.client:
                    reset_connection(writer)
                    return
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not connection.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            # A reset on one side must not become a clean end on the other.
            if not connection.silent:
                reset_connection(writer)
        if connection.silent:
            # A silent connection does not forward the end of the stream either.
            await connection.aborted.wait()


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
