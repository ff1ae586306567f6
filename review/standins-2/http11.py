"""Minimal HTTP/1.1 over asyncio: a server with keep-alive and a client."""

import asyncio
import socket

MAX_HEAD_BYTES = 64 * 1024
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
           409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable", 504: "Gateway Timeout"}


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class Silence(Exception):
    """Raised by a handler to leave a request without an answer."""


async def read_message(reader):
    """Returns (start line, headers, body), or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def encode_response(code, body=b"", headers=()):
    text = f"HTTP/1.1 {code} {REASONS.get(code, 'Status')}\r\n"
    text += f"Content-Length: {len(body)}\r\n"
    if body:
        text += "Content-Type: application/json\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    return text.encode("latin-1") + b"\r\n" + body


async def serve(handler, host, port):
    """`handler(request)` returns (code, body bytes)."""

    async def on_connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                start, headers, body = message
                method, target, _ = start.split(" ", 2)
                code, answer = await handler(Request(method, target, headers, body))
                writer.write(encode_response(code, answer))
                await writer.drain()
        except Silence:
            # The channel on which an answer is lost returns nothing further.
            try:
                await reader.read()
            except ConnectionError:
                pass
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, limit=16 << 20,
                                      reuse_address=True)


class Channel:
    """One connection of a client; requests go one after the other."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)

    async def send(self, method, target, headers=(), body=b""):
        if self.writer is None:
            await self.open()
        text = f"{method} {target} HTTP/1.1\r\n"
        for name, value in headers:
            text += f"{name}: {value}\r\n"
        if body or method == "POST":
            text += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        self.writer.write(text.encode("latin-1") + b"\r\n" + body)
        await self.writer.drain()

    async def receive(self):
        message = await read_message(self.reader)
        if message is None:
            raise ConnectionError("the channel ended without an answer")
        start, headers, body = message
        return int(start.split(" ", 2)[1]), headers, body

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def call(host, port, method, target, headers=(), body=b"", timeout=5.0):
    """One request on a channel of its own."""
    channel = Channel(host, port)
    try:
        async def exchange():
            await channel.send(method, target, headers, body)
            return await channel.receive()
        return await asyncio.wait_for(exchange(), timeout)
    finally:
        channel.close()


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]
