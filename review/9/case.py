"""Four workers crash and start again under their ids; streams that they began since are cut off
when their entries in the store show that they started again."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from rig2 import Client, Rig, message, play, route, service  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
EVENTS = 40
CLIENTS = 48
WORKERS = 16
CRASHED = 4  # 0.25 of the workers
DOWN_S = 0.3
FIRST_BEAT_S = 1.2  # heartbeatMs
LOST_MAX = 3


async def stream(worker, got, reader, writer):
    """Runs a stream; notes when it began, and whether it was broken off from outside."""
    call = got[1]["x-attempt-id"]
    worker.rig.ran(call, worker)
    worker.begun[call] = worker.born
    writer.write(message("HTTP/1.1 200 OK", {
        "X-Attempt-Id": call, "X-Response-Seal": worker.seal(), "Keep-Alive": "timeout=5",
        "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
    for number in range(1, EVENTS + 1):
        event = f"id: {number}\ndata: {call}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.05)
    writer.write(b"0\r\n\r\n")
    return True


async def crash(worker):
    """Ends a worker like a killed process; it serves again under its id and address."""
    port = worker.port
    worker.end(reset=True)
    worker.rig.record.write(f"worker {worker.name} crashes")
    await asyncio.sleep(DOWN_S)
    worker.born += 1000
    await worker.listen(port)
    worker.rig.record.write(f"worker {worker.name} serves again")
    await asyncio.sleep(FIRST_BEAT_S)
    worker.register()
    worker.rig.record.write(f"worker {worker.name} writes its entry")


async def main():
    rig = Rig(os.path.join(HERE, "record.txt"))
    await rig.start(2)
    rig.config([route("summary", "/n/", "stream", "pool", resumable=False, sticky=True,
                      maxAttempts=1, timeoutMs=12000, goalMs=300, gapGoalMs=250)],
               [service("pool", maxConns=480)])
    for i in range(WORKERS):
        worker = await rig.add_worker("pool", slots=96)
        worker.born = 1764000000000 + i
        worker.begun = {}
        worker.misbehave = stream
        worker.spec = (lambda w: lambda: dict(type(w).spec(w), born=w.born))(worker)
        worker.register()
    await rig.start_gateways()
    await asyncio.sleep(4)

    end = time.monotonic() + 8
    answers = []

    async def call(number):
        client = Client(rig, rig.gateways[number % 2])
        await asyncio.sleep(number * 0.04)
        while time.monotonic() < end:
            sent = rig.record.now()
            got = await client.send(
                "POST", f"/n/{number}", 12000,
                {"X-Model": "m", "X-Token-Count": "100,400",
                 "X-Prompt-Prefix": f"{len(answers) + 100:x}:100"}, b"{}")
            answers.append((client.gateway.node, sent, rig.record.now()) + got)

    clients = [asyncio.create_task(call(i)) for i in range(CLIENTS)]
    await asyncio.sleep(3)
    crashed = rig.workers[:CRASHED] if TROUBLE else []
    await asyncio.gather(*(crash(worker) for worker in crashed))
    await asyncio.gather(*clients)
    await rig.end()

    lost = {gateway.node: 0 for gateway in rig.gateways}
    for node, sent, ended, call_id, status, _, body in answers:
        if status == 200 and body is not None:
            continue
        if any(worker.begun.get(call_id) == worker.born for worker in crashed):
            lost[node] += 1
            rig.record.write(f"cut off by {node} though its worker is sound: {call_id}, "
                             f"sent at {sent:.3f}, closed at {ended:.3f}")
    whole = sum(a[4] == 200 and a[6] is not None for a in answers)
    text = (f"{whole} of {len(answers)} streams whole; begun by restarted workers and closed "
            f"without a complete answer, by machine: {lost}")
    rig.record.write(text)
    print(text)
    if not whole:
        return 2
    return 1 if max(lost.values()) > LOST_MAX else 0


sys.exit(play(main))
