"""The connections to the store go silent for good while new ones work; a route then moves to
another service."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
import fleet as standin  # noqa: E402

# Half a second more than `touch_ms`, for which the bench lets such a disturbance last.
TOUCH_S = standin.BOUNDS["touch_ms"] / 1000 + 0.5
CONFIG_S = standin.BOUNDS["config_ms"] / 1000


def configuration(version, service):
    routes = [("/move/", "unsafe", service, 2500)]
    return standin.configuration(version, routes, ["old", "new"])


async def case(fleet):
    record = fleet.record
    for number in range(6):
        await fleet.add_server(["old", "new"][number % 2], "abc"[number % 3], work=0.02)
    fleet.store.commit([configuration(7, "old")])
    proxy = standin.Proxy(fleet.store.address)
    await proxy.start()
    fleet.make_entries(["a", "a", "b", "b", "c", "c"], platform=proxy.address)
    for entry in fleet.entries:
        entry.start()
    await fleet.wait_ready()
    await asyncio.sleep(5)
    sending, stop = [], asyncio.Event()

    async def traffic():
        while not stop.is_set():
            entry = fleet.entries[len(sending) % len(fleet.entries)]
            request = fleet.request("/move/", method="POST", body=b"an order", deadline_ms=2500)
            sending.append((request, asyncio.create_task(request.send(record, entry.ip))))
            await asyncio.sleep(1 / 60)

    task = asyncio.create_task(traffic())
    await asyncio.sleep(2)
    # Configurations come in quick succession: the first one changes no route.
    fleet.store.commit([configuration(9, "old")])
    record.add("the store acknowledges r9")
    await asyncio.sleep(0.4)
    silent = record.now()
    if standin.TROUBLE:
        record.add(f"{proxy.silence()} open connections to the store go silent")
    await asyncio.sleep(0.3)
    fleet.store.commit([configuration(12, "new")])
    acked = record.now()
    record.add("the store acknowledges r12, which moves /move/ to the service `new`")
    await asyncio.sleep(8)
    stop.set()
    await task
    await asyncio.gather(*(task for _, task in sending))
    # From then on the machines are in touch again, and the version has been in force for long.
    bound = max(acked + CONFIG_S, silent + TOUCH_S)
    old = {request for server in fleet.servers if server.service == "old"
           for _, request in server.runs}
    late = [request.sent - acked for request, _ in sending
            if request.sent > bound and request.id in old]
    text = f"{len(sending)} requests; {len(late)} of those that were sent later than {CONFIG_S} s"
    text += f" after the ack, and later than {TOUCH_S} s after the connections went silent, were run"
    text += " by the old service"
    if late:
        text += f", the last {max(late):.3f} s after the ack"
    return bool(late), text


standin.main(FOLDER, case)
