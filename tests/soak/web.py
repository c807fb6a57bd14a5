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


async def ask_once(port, method, path, headers=(), body=b"", timeout=5.0):
    connection = Connection(port)
    try:
        return await connection.ask(method, path, (*headers, ("Connection", "close")), body, timeout)
    finally:
        connection.close()
