"""A model runner as the pages describe it, for a case of the review.

It runs ``slots`` requests at once, queues ``queue`` more and refuses the rest with 503 and
``X-Rookspring-Not-Executed``. It serves one request at a time on a channel and drops a request
whose channel closes. While ``surplus_share`` is above 0 it sends that share of its answers a
second time, late: in the place of the next answer on the channel.
"""

import asyncio
import json
import random
import time

from stand_ins import message
from stand_ins import read_message

EVENTS = 4
EVENT_S = 0.05
KEEP_ALIVE_S = 5


class Runner:
    def __init__(self, name, model, store, slots, queue, weights_mb, models_mb):
        self.name = name
        self.models = {model}
        self.store = store
        self.slots = slots
        self.queue = queue
        self.weights_mb = weights_mb
        self.models_mb = models_mb
        self.sequence = 0
        self.fence = 0
        self.order_until = 0.0
        self.running = 0
        self.waiting = 0
        self.room = asyncio.Condition()
        self.random = random.Random(f"surplus {name}")
        self.surplus_share = 0.0
        # (time, kind, id, channel) of what happened, for the record and the checks.
        self.events = []
        self.channels = 0
        self.answers = 0
        self.disturbed_answers = 0
        self.surpluses = 0
        self.server = None
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.write_entry()

    def write_entry(self):
        self.store.write(
            "servers",
            self.name,
            {
                "service": "llm",
                "address": self.address,
                "zone": "z1",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold-left-ms": 0,
                "sequence": 1,
                "models": self._models(),
            },
        )

    def _models(self):
        return [{"name": one, "version": 1, "adapters": []} for one in sorted(self.models)]

    def _note(self, kind, identity, channel):
        self.events.append((time.monotonic(), kind, identity, channel))

    async def _accept(self, reader, writer):
        self.channels += 1
        channel = f"{self.name}/{self.channels}"
        try:
            await self._serve(reader, writer, channel)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _serve(self, reader, writer, channel):
        # The second copy of an answer, which is sent in the place of the next one.
        late = b""
        while True:
            line, headers, body = await read_message(reader)
            identity = headers.get("x-rookspring-request-id", "")
            if late:
                self._note("surplus", "", channel)
                writer.write(late)
                late = b""
            if not identity:
                writer.write(self._answer_call(line, headers, body))
                await writer.drain()
                continue
            self._note("arrives", identity, channel)
            answer = await self._handle(identity, headers, reader, writer, channel)
            await writer.drain()
            self.answers += 1
            self.disturbed_answers += self.surplus_share > 0.0
            # Never more than that share of the answers that were given so far while disturbed.
            room = self.surpluses + 1 <= self.surplus_share * self.disturbed_answers
            if room and self.random.random() < self.surplus_share * 2:
                self.surpluses += 1
                late = answer

    def _answer_call(self, line, headers, body):
        kept = {"Keep-Alive": f"timeout={KEEP_ALIVE_S}"}
        if line.startswith("GET /report"):
            report = {
                "stage": "both",
                "models": self._models(),
                "utilization": time.monotonic() < self.order_until,
                "sequence": self.sequence,
                "queued": self.waiting,
                "active": self.running,
                "kv-used": 0,
                "kv-total": 100000,
                "handles": 0,
            }
            return message("HTTP/1.1 200 OK", kept, json.dumps(report).encode())
        if line.startswith("GET /healthz"):
            return message("HTTP/1.1 200 OK", {**kept, "X-Rookspring-Instance-Id": self.name})
        if line.startswith("POST /order"):
            return message(f"HTTP/1.1 {self._order(headers, json.loads(body))} X", kept)
        return message("HTTP/1.1 404 Not Found", kept)

    def _order(self, headers, order):
        """Carry out an order; each takes a second."""
        if headers.get("x-rookspring-expect-instance", self.name) != self.name:
            return 421
        if "holder" not in order or "fencing-token" not in order:
            return 400
        if order["fencing-token"] < self.fence:
            return 412
        self.fence = order["fencing-token"]
        if time.monotonic() < self.order_until:
            return 409
        if order.get("expected-count", self.sequence) != self.sequence:
            return 409
        load = order["operation"] == "load"
        if order.get("adapter"):
            return 400
        if (order["model"] in self.models) == load:
            return 200
        if (
            load
            and sum(self.models_mb[one] for one in {*self.models, order["model"]}) > self.weights_mb
        ):
            raise RuntimeError("ordered to load beyond its memory")
        self.sequence += 1
        self.order_until = time.monotonic() + 1.0
        self._note(f"order {order['operation']} {order['model']}", "", "")
        asyncio.get_running_loop().call_later(1.0, self._finish_order, load, order["model"])
        return 202

    def _finish_order(self, load, model):
        (self.models.add if load else self.models.discard)(model)
        self.write_entry()

    async def _handle(self, identity, headers, reader, writer, channel):
        """Answer a request, and return the bytes of the whole answer."""
        kept = {"X-Rookspring-Request-Id": identity, "Keep-Alive": f"timeout={KEEP_ALIVE_S}"}
        refused = {**kept, "X-Rookspring-Not-Executed": "1"}
        expected = headers.get("x-rookspring-expect-instance", self.name)
        model = headers.get("x-rookspring-model", "").partition("/")[0]
        status = 0
        if expected != self.name or model not in self.models:
            status = 421
        elif self.running + self.waiting >= self.slots + self.queue:
            status = 503
        if status:
            self._note(f"refused {status}", identity, channel)
            answer = message(f"HTTP/1.1 {status} X", refused)
            writer.write(answer)
            return answer
        self.waiting += 1
        try:
            async with self.room:
                await self.room.wait_for(lambda: self.running < self.slots)
            if reader.at_eof() or writer.is_closing():
                raise ConnectionResetError
            self.running += 1
        finally:
            self.waiting -= 1
        try:
            return await self._run(identity, kept, reader, writer, channel)
        finally:
            self.running -= 1
            async with self.room:
                self.room.notify_all()

    async def _run(self, identity, kept, reader, writer, channel):
        self._note("runs", identity, channel)
        stamp = f"{self.name}.{len(self.events)}"
        rows = {
            **kept,
            "X-Rookspring-Server-Stamp": stamp,
            "X-Rookspring-Weight-Versions": "1",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{key}: {value}\r\n" for key, value in rows.items())
        answer = head.encode() + b"\r\n"
        writer.write(answer)
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            if reader.at_eof() or writer.is_closing():
                self._note("dropped", identity, channel)
                raise ConnectionResetError
            data = f"id: {number}\ndata: {identity} {number}\n\n".encode()
            part = b"%x\r\n%b\r\n" % (len(data), data)
            writer.write(part)
            await writer.drain()
            answer += part
        writer.write(b"0\r\n\r\n")
        self._note("ends", identity, channel)
        return answer + b"0\r\n\r\n"
