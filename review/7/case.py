"""The store answers nothing to the four machines that watch it, and serves the ten others; a route
moves to another service. Three times."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
import fleet as standin  # noqa: E402

CONFIG_S = standin.BOUNDS["config_ms"] / 1000
ROUNDS = 3
TURNED_AWAY_S = 9.0


def configuration(version, service):
    routes = [("/move/", "unsafe", service, 2500)]
    return standin.configuration(version, routes, ["s0", "s1"])


async def watchers(entries):
    found = []
    for entry in entries:
        if (await entry.dump())["standing"]["store"] == "watching":
            found.append(entry)
    return found


async def case(fleet):
    record = fleet.record
    for number in range(8):
        await fleet.add_server(f"s{number % 2}", "abc"[number % 3], work=0.02)
    fleet.store.commit([configuration(7, "s0")])
    await fleet.make_entries_with_proxies(list("aaaaaabbbbbccc"))
    for entry in fleet.entries:
        entry.start()
    await fleet.wait_ready()
    await asyncio.sleep(5)
    sending, stop, late = [], asyncio.Event(), []

    async def traffic():
        while not stop.is_set():
            entry = fleet.entries[len(sending) % len(fleet.entries)]
            request = fleet.request("/move/", method="POST", body=b"an order", deadline_ms=2500)
            request.ip = entry.ip
            sending.append((request, asyncio.create_task(request.send(record, entry.ip))))
            await asyncio.sleep(1 / 100)

    def ran_at(service):
        return {request for server in fleet.servers if server.service == service
                for _, request in server.runs}

    task = asyncio.create_task(traffic())
    for number in range(ROUNDS):
        await asyncio.sleep(2)
        turned_away = await watchers(fleet.entries)
        record.add(f"the store is watched by {[entry.name for entry in turned_away]}")
        if len(turned_away) > 0.35 * len(fleet.entries):
            raise standin.CantRun("too many instances watch the store")
        if standin.TROUBLE:
            for entry in turned_away:
                entry.proxy.mute = True
                entry.proxy.silence()
            record.add("the store answers nothing to these machines")
        await asyncio.sleep(0.2)
        before, after = f"s{number % 2}", f"s{(number + 1) % 2}"
        fleet.store.commit([configuration(9 + 2 * number, after)])
        acked = record.now()
        record.add(f"the store acknowledges r{9 + 2 * number}, which moves /move/ to `{after}`")
        await asyncio.sleep(TURNED_AWAY_S - 0.2)
        ended = record.now()
        for entry in turned_away:
            entry.proxy.mute = False
        others = {entry.ip for entry in fleet.entries if entry not in turned_away}
        old = ran_at(before)
        late += [request.sent - acked for request, _ in sending
                 if request.id in old and request.ip in others
                 and acked + CONFIG_S < request.sent < ended]
        await asyncio.sleep(4)
    stop.set()
    await task
    await asyncio.gather(*(task for _, task in sending))
    text = f"{len(sending)} requests; {len(late)} of those that were sent to machines which the"
    text += f" store served, later than {CONFIG_S} s after an ack, were run by the old service"
    if late:
        text += f", the last {max(late):.3f} s after the ack"
    return bool(late), text


standin.main(FOLDER, case)
