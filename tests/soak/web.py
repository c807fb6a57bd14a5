"""HTTP/1.1 over one kept connection."""

import asyncio


class Broken(Exception):
    """No whole answer. `was_sent` says whether any byte of the request can have reached the server."""

    def __init__(self, reason, was_sent):
        super().__init__(reason)
        self.was_sent = was_sent


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class Connection:
    """A connection that is opened when first used and again after it was closed."""

    def __init__(self, port):
        self.port = port
        self.reader = None
        self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, method, path, headers=(), body=b"", timeout=5.0):
        was_sent = False
        try:
            async with asyncio.timeout(timeout):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
                lines = [f"{method} {path} HTTP/1.1", "Host: a.example", f"Content-Length: {len(body)}",
                         *(f"{name}: {value}" for name, value in headers)]
                was_sent = True
                self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                answer = await self.read_answer()
            if answer.headers.get("connection", "").lower() == "close":
                self.close()
            return answer
        except (OSError, EOFError, TimeoutError, ValueError) as problem:
            self.close()
            raise Broken(repr(problem), was_sent) from problem

    async def read_answer(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding") == "chunked":
            while size := int((await self.reader.readline()).split(b";")[0], 16):
                body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
            await self.reader.readexactly(2)
        else:
            body = await self.reader.readexactly(int(headers.get("content-length", 0)))
        return Answer(int(head[0].split()[1]), headers, body)


async def stream_once(port, path, headers, timeout):
    """Reads a stream of events on a connection of its own.

    Returns status (0 for no answer), the events as (id, data) and whether the body was complete.
    """
    status, text, is_complete = 0, b"", False
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            lines = [f"POST {path} HTTP/1.1", "Host: a.example", "Content-Length: 4", "Connection: close",
                     *(f"{name}: {value}" for name, value in headers)]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\ntext")
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            status = int(head.split()[1])
            while status == 200 and (size := int((await reader.readline()).split(b";")[0], 16)):
                text += await reader.readexactly(size)
                await reader.readexactly(2)
            is_complete = status == 200
    except (OSError, EOFError, TimeoutError, ValueError):
        pass  # what arrived before counts
    finally:
        if writer:
            writer.close()
    events = []
    for block in text.decode().split("\n\n")[:-1]:
        fields = dict(line.split(": ", 1) for line in block.split("\n") if ": " in line)
        events.append((int(fields["id"]), fields["data"]))
    return status, events, is_complete


async def ask_once(port, method, path, headers=(), body=b"", timeout=5.0):
    connection = Connection(port)
    try:
        return await connection.ask(method, path, (*headers, ("Connection", "close")), body, timeout)
    finally:
        connection.close()
