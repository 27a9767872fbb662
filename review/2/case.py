"""A planned stop cuts requests that it has accepted and passed on: see claim.txt."""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

import standin  # noqa: E402

HOST = "contracts.example"
ZONES = ["lima-miraflores", "lima-san-isidro", "lima-surco"]
SEARCHERS = 12
CLIENTS = 112
DEADLINE_MS = 15000
# The searchers of the small deployment work for 220 ms on average and 1,300 ms at most.
SHORT_WORK_S, LONG_WORK_S = 0.22, 1.3
SETTLE_S = 6.0
# The clients send their next request one after the other in this span after the SIGTERM.
FIRST_S, LAST_S = 0.1, 4.6
GRACE_S = 6.0


async def case(record, has_trouble):
    rng = random.Random(11)

    def work(request):
        # One in four of the requests after the SIGTERM takes the most time that the site allows.
        is_long = request.startswith("01") and int(request[2:], 16) % 4 == 3
        return LONG_WORK_S if is_long else SHORT_WORK_S

    async with standin.Fleet(ZONES) as fleet:
        rules = [standin.route("r-one", HOST, "/one/", "idempotent", "facturacion", 15000, 800)]
        await fleet.store.put("op/config", standin.config(7, rules, [("facturacion", 110)]))
        for number in range(SEARCHERS):
            searcher = standin.Searcher(
                record, f"i-{number:04x}", "facturacion", ZONES[number % 3], work,
            )
            await searcher.start(fleet.store)
        await fleet.start_vms()
        vm = fleet.vms[0]
        clients = [standin.Client(record, vm, HOST) for _ in range(CLIENTS)]
        begin = record.now()
        answers = {}

        async def send(client, number, turn):
            request = f"{turn:02x}{number:04x}"
            try:
                reply = await client.send(request, "GET", f"/one/{request}", DEADLINE_MS)
            except asyncio.TimeoutError:
                reply = ("deadline",)
            except OSError as error:
                # A new connection was refused or reset: the request was not read.
                reply = (f"no connection: {error!r}",)
            answers[request] = reply[0] if reply else None

        async def warm_up(client, number):
            # Each client has a connection and has had an answer on it.
            await asyncio.sleep(rng.random() * SETTLE_S * 0.7)
            await send(client, number, 0)

        await asyncio.gather(*(warm_up(it, number) for number, it in enumerate(clients)))
        await asyncio.sleep(max(0, begin + SETTLE_S - record.now()))
        if has_trouble:
            vm.process.send_signal(signal.SIGTERM)
            record.add(f"SIGTERM to {vm.name}")
        stop = record.now()
        sent = {}

        async def later(client, number):
            at = FIRST_S + (LAST_S - FIRST_S) * number / (CLIENTS - 1)
            await asyncio.sleep(max(0, stop + at - record.now()))
            if not client.is_open():
                record.add(f"closed client={number}: its connection was closed while it was idle")
                return
            sent[f"01{number:04x}"] = record.now() - stop
            await send(client, number, 1)

        async def follow_process():
            await vm.process.wait()
            record.add(f"ended  vm={vm.name} after {record.now() - stop:.2f} s")

        end = asyncio.ensure_future(follow_process())
        await asyncio.gather(*(later(it, number) for number, it in enumerate(clients)))
        await asyncio.sleep(max(0, stop + GRACE_S + 1 - record.now()))
        end.cancel()
        for client in clients:
            client.close()
        ran = {it.split()[3][3:] for it in record.lines if it.split()[1] == "run"}
        findings = [
            f"LOST id={request} sent {at:.2f} s after the SIGTERM was passed on to a searcher and "
            "its connection ended without an answer"
            for request, at in sent.items()
            if answers[request] is None and request in ran
        ]
        counts = {}
        for request in sent:
            counts[answers[request]] = counts.get(answers[request], 0) + 1
        record.add(f"sum    sent={len(sent)} answers={counts}")
        print(record.lines[-1])
        if sum(1 for it in answers.values() if it == 200) < CLIENTS // 2:
            raise standin.CannotRun("the VM did not serve before the stop")
        return findings


sys.exit(standin.main(case, FOLDER))
