"""A loopback proxy that delays, resets, cuts one way, silences, and loses answers."""

import asyncio
import random
import socket
import struct

POLL_S = 0.02
PIECE_BYTES = 65536


def reset(writer):
    """Closes a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        try:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass  # closed already
    writer.close()


class Proxy:
    """Passes connections on to a port; `up` is the way to the server, `down` the way back."""

    def __init__(self, target, generator):
        self.target = target
        self.random = random.Random(generator.random())
        self.port = None
        self.server = None
        self.pairs = set()
        self.heal()

    def heal(self):
        self.silent = set()
        self.delay_s = 0.0
        self.is_refusing = False
        self.lost_answers = 0.0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset_all(self):
        for pair in list(self.pairs):
            for writer in pair:
                reset(writer)

    async def serve(self, reader, writer):
        if self.is_refusing:
            reset(writer)
            return
        try:
            server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            reset(writer)
            return
        pair = (writer, server_writer)
        self.pairs.add(pair)
        try:
            await asyncio.wait({asyncio.ensure_future(self.pump(reader, server_writer, "up")),
                                asyncio.ensure_future(self.pump(server_reader, writer, "down"))},
                               return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass  # the run is over; the streams' own callback would report it
        finally:
            self.pairs.discard(pair)
            for each in pair:
                if reader.exception() or server_reader.exception():
                    reset(each)
                else:
                    each.close()

    async def pump(self, reader, writer, way):
        try:
            while piece := await reader.read(PIECE_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.random.uniform(0, self.delay_s))
                while way in self.silent:
                    # What a connection that was reset had under way is lost.
                    if reader.exception():
                        return
                    await asyncio.sleep(POLL_S)
                if way == "down" and self.random.random() < self.lost_answers:
                    reset(writer)
                    return
                writer.write(piece)
                await writer.drain()
        except OSError:
            pass  # the other side is gone; the pair is closed by its owner
