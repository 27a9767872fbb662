"""A searcher crashes and starts again under its id, cold. The trouble: the store has done one of its earlier
writes late, so that the entry of the earlier start comes after that of the new one for a moment."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
from lab import BOUNDS, TROUBLE, Node, Searcher, Store, Traffic, config, main, most_in, route, service

COLD_PER_S = 4.0
BOUND = COLD_PER_S * BOUNDS["coldOver"] + BOUNDS["coldSlack"]
# Well above the rate that a cold searcher tolerates.
CRASH_AT = 5 * COLD_PER_S
COLD_S = 8.0
DOWN_S = 2.0
# The store does a write 1 to 6 s late whose answer it has lost.
LATE_S = 4.8
WORK_S, COLD_FACTOR = 0.03, 1.6


async def scenario(lab):
    store = Store(lab)
    await store.start()
    searchers = [Searcher(lab, store, f"i-{number}", "catalog", zone)
                 for number, zone in enumerate(["a", "a", "b"])]
    beats = {}
    for searcher in searchers:
        searcher.work = lambda it=searcher: WORK_S * (COLD_FACTOR if it.is_cold() else 1.0)
        await searcher.start()
        await searcher.report()
        beats[searcher] = lab.spawn(searcher.heartbeats())
    routes = [route("r-read", "/read/", "catalog"),
              route("r-order", "/order/", "catalog", kind="non_idempotent")]
    await store.put("op/config", config(7, routes, [service("catalog", warmup=COLD_S, cold_per_s=COLD_PER_S)]))
    nodes = []
    for name, zone in (("edge-a-1", "a"), ("edge-a-2", "a"), ("edge-b-1", "b")):
        nodes.append(Node(lab, name, zone, store, seeds=nodes[:1]))
        await nodes[-1].start()
    for node in nodes:
        await node.until_ready()
    # Traffic starts 10 s after the machines do.
    await asyncio.sleep(10)
    start = lab.now()
    traffic = Traffic(lab, "t")
    end = start + 18
    lab.spawn(traffic.steady(nodes, "/read/", 120, end))
    lab.spawn(traffic.steady(nodes, "/order/", 120, end, method="POST", body=b"one"))
    one = searchers[0]
    crashes = []

    async def on_arrival(searcher, now):
        recent = sum(1 for at, _ in searcher.arrivals if now - at < 1.0)
        if searcher.is_cold() and recent > CRASH_AT and not crashes:
            crashes.append(searcher.name)
            await searcher.crash()
            return False
        return True

    one.on_arrival = on_arrival
    await asyncio.sleep(4)

    async def late_write(entry):
        await asyncio.sleep(LATE_S)
        lab.record("late_write_done", searcher=one.name, entry=entry)
        await store.put(f"servers/{one.name}", entry)

    if TROUBLE:
        one.sequence += 1
        lab.record("write_not_answered", searcher=one.name, sequence=one.sequence)
        lab.spawn(late_write(one.entry()))
    await asyncio.sleep(0.3)
    beats[one].cancel()
    await one.crash()
    await asyncio.sleep(DOWN_S)
    # The same id and address; it knows nothing of before, and its counts start anew.
    one.born, one.sequence = one.born + int(lab.now() * 1000), 0
    one.cold_until = lab.now() + COLD_S
    cold_from = lab.now()
    await one.start()
    await one.report()
    lab.spawn(one.heartbeats())
    lab.record("started_again", searcher=one.name, entry=one.entry())
    await asyncio.sleep(max(0, end - lab.now()) + 0.5)

    # Requests that a client sent and that arrived inside one second, while the searcher was cold.
    until = cold_from + COLD_S
    times = [at for at, request in one.arrivals if cold_from <= at < until]
    most, at = most_in(times, 1.0)
    sent = [it for it in one.arrivals if at <= it[0] < at + 1.0 and traffic.sent[it[1]] >= at]
    lost = [it for it in traffic.answers.values() if it[2] != 200]
    summary = [f"{one.name}: {len(sent)} requests sent and arrived in one second while cold, from {at - cold_from:.2f} s "
               f"after its start on, {BOUND:.0f} allowed; all cold arrivals {len(times)}",
               f"crashed under it: {len(crashes)}; requests of the day without a success: {len(lost)} of {len(traffic.answers)}",
               "FAILBACK broken" if len(sent) > BOUND else "FAILBACK held"]
    return await lab.finish(len(sent) > BOUND, summary)


if __name__ == "__main__":
    main(scenario, os.path.dirname(os.path.abspath(__file__)))
