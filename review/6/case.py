"""Two of the four servers of a service leave one after the other, the second one without a report;
three times."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
import fleet as standin  # noqa: E402

DRAIN_S = standin.BOUNDS["drain_ms"] / 1000
# Such a server "continues serving for the same time", `drain_ms` "and a little longer".
LINGER_S = 0.3
ROUNDS = 3


def configuration(version):
    routes = [("/order/", "unsafe", "s", 2500 + version)]
    return standin.configuration(version, routes, ["s"])


async def case(fleet):
    record = fleet.record

    async def add_server():
        return await fleet.add_server("s", "abc"[len(fleet.servers) % 3], work=0.08)

    for _ in range(4):
        await add_server()
    fleet.store.commit([configuration(7)])
    fleet.make_entries(["a", "a", "b", "b", "c", "c"])
    for entry in fleet.entries:
        entry.start()
    await fleet.wait_ready()
    await asyncio.sleep(4)
    sending, stop, gone = [], asyncio.Event(), {}

    async def traffic():
        while not stop.is_set():
            entry = fleet.entries[len(sending) % len(fleet.entries)]
            request = fleet.request("/order/", method="POST", body=b"an order", deadline_ms=2500)
            sending.append((request, asyncio.create_task(request.send(record, entry.ip))))
            await asyncio.sleep(1 / 160)

    task = asyncio.create_task(traffic())
    for version in range(8, 8 + ROUNDS):
        await asyncio.sleep(1)
        first, second = fleet.servers[-4:-2] if standin.TROUBLE else (None, None)
        if first:
            # The first one reports that it leaves, goes on for a little longer and exits.
            first.leaving = True
            first.register("draining")
            record.add(f"{first.id} is draining")
        await asyncio.sleep(DRAIN_S + 0.4)
        fleet.store.commit([configuration(version)])
        await asyncio.sleep(0.1)
        if first:
            first.end()
            fleet.store.commit([], ["servers/" + first.id])
            record.add(f"{first.id} exits, and its entry is removed")
            await asyncio.sleep(0.05)
            # The second one leaves without a report: its entry is removed.
            second.leaving = True
            fleet.store.commit([], ["servers/" + second.id])
            gone[second] = record.now()
            record.add(f"the store acknowledges that {second.id} is gone")
        await asyncio.sleep(DRAIN_S + LINGER_S)
        if first:
            second.end()
            record.add(f"{second.id} exits")
            await asyncio.sleep(0.5)
            for _ in range(2):
                record.add(f"{(await add_server()).id} joins")
        await asyncio.sleep(0.5)
    await asyncio.sleep(1)
    stop.set()
    await task
    await asyncio.gather(*(task for _, task in sending))
    late = [at - acked for server, acked in gone.items()
            for at, _ in server.arrivals if at - acked > DRAIN_S]
    answers = {}
    for request, _ in sending:
        answers[request.status] = answers.get(request.status, 0) + 1
    text = f"{len(sending)} orders, answers {answers}; {len(late)} orders reached a server later"
    text += f" than {DRAIN_S} s after the store had acknowledged that it was gone"
    if late:
        text += f", the last {max(late):.3f} s after"
    return bool(late), text


standin.main(FOLDER, case)
