"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit


class Request:
    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = unquote(parts.path)
        self.query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_head(reader):
    """Returns the first line and the headers, or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n", b""):
            break
        name, _, value = field.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode().strip(), headers


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


async def serve(host, port, handle):
    """`handle(request)` returns (status, object or None), or None to close the
    channel without an answer."""

    async def channel(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                answer = await handle(Request(method, target, headers, body))
                if answer is None:
                    break
                status, value = answer
                text = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(channel, host, port)


async def call(host, port, method, target, body=None, headers=None,
               timeout=3.0):
    """One request on a channel of its own. Returns (status, object or None);
    the status is 0 without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            text = b"" if body is None else json.dumps(body).encode()
            fields = {"Host": "stand-in", "Content-Length": str(len(text))}
            if body is not None:
                fields["Content-Type"] = "application/json"
            fields.update(headers or {})
            head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
            writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode()
                         + text)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, None
            first, _, answer = message
            return int(first.split()[1]), json.loads(answer) if answer else None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, None
