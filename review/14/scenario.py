"""A searcher crashes, starts again under its id and turns requests away for some seconds. The trouble: the store
has done one of its earlier writes late, so that the entry of the earlier start comes after that of the new one."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
from lab import TROUBLE, Node, Searcher, Store, Traffic, config, main, response, route, service

# How long the searcher wants nothing after its start.
REST_S = 8.0
# More requests than this break the rule, for one machine.
ALLOWED = 2
DOWN_S = 2.0
# The store does a write 1 to 6 s late whose answer it has lost.
LATE_S = 4.8
WORK_S = 0.03


class Resting(Searcher):
    """Turns requests away until a time, and says for how long it wants none."""

    rests_until = 0.0

    async def _answer(self, message, reader):
        rest = self.rests_until - self.lab.now()
        request = message[1].get("x-attempt-id")
        if rest <= 0 or request is None or message[1].get("x-expect-instance") not in (None, self.name):
            return await super()._answer(message, reader)
        self.arrivals.append((self.lab.now(), request))
        self.lab.record("turned_away", searcher=self.name, request=request, retry_after=round(rest, 3))
        return response(503, {"X-Attempt-Id": request, "X-Not-Run": "1", "Retry-After": f"{rest:.3f}"})


async def scenario(lab):
    store = Store(lab)
    await store.start()
    searchers = [Resting(lab, store, f"i-{number}", "catalog", zone, work=WORK_S)
                 for number, zone in enumerate(["a", "a", "b"])]
    beats = {}
    for searcher in searchers:
        await searcher.start()
        await searcher.report()
        beats[searcher] = lab.spawn(searcher.heartbeats())
    routes = [route("r-read", "/read/", "catalog"),
              route("r-order", "/order/", "catalog", kind="non_idempotent")]
    await store.put("op/config", config(7, routes, [service("catalog")]))
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
    one.rests_until = lab.now() + REST_S
    began = lab.now()
    await one.start()
    await one.report()
    lab.spawn(one.heartbeats())
    lab.record("started_again", searcher=one.name, entry=one.entry())
    await asyncio.sleep(max(0, end - lab.now()) + 0.5)

    # For each machine: the requests from half a second after the first 503 to it until the end of the time named.
    first, late = {}, {}
    for at, request in one.arrivals:
        if not began <= at < one.rests_until:
            continue
        node = traffic.answers[request][1]
        since = first.setdefault(node, at) + 0.5
        late[node] = late.get(node, 0) + (at >= since)
    summary = [f"{node}: first turned away {first[node] - began:.2f} s after the start, {late[node]} requests between half a "
               f"second later and the end of the {REST_S:.0f} s, {ALLOWED} allowed" for node in sorted(first)]
    is_broken = any(count > ALLOWED for count in late.values())
    summary.append("BUDGET broken" if is_broken else "BUDGET held")
    return await lab.finish(is_broken, summary)


if __name__ == "__main__":
    main(scenario, os.path.dirname(os.path.abspath(__file__)))
