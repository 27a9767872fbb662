"""A late second copy of a rejection: see claim.txt."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

import standin  # noqa: E402

HOST = "orders.example"
ZONES = ["lima-miraflores", "lima-san-isidro", "lima-surco"]
SEARCHERS = 35
# Enough callers that searchers are full at times and reject what they cannot take.
CLIENTS = int(os.environ.get("CLIENTS", "210"))
MEAN_WORK_S, MOST_WORK_S = 0.22, 1.3
SLOTS, QUEUE = 3, 3
DEADLINE_MS = 15000
BEFORE_S, TROUBLE_S, AFTER_S = 6.0, 5.0, 2.0
GARBLING_SHARE, DOUBLED_SHARE = 0.6, 0.03
PROMISES = (408, 421, 429, 503)


async def case(record, has_trouble):
    rng = random.Random(7)
    trouble = [float("inf"), float("inf")]
    counts = {"answers": 0, "copies": 0}

    def double(status):
        if not trouble[0] <= record.now() < trouble[1]:
            return False
        counts["answers"] += 1
        # Rejections are doubled, no more than the share of all answers that the pages allow.
        is_rejection = status == 503
        if not is_rejection or counts["copies"] + 1 > DOUBLED_SHARE * counts["answers"]:
            return False
        counts["copies"] += 1
        return True

    def work(_request):
        return min(rng.lognormvariate(-0.125, 0.5) * MEAN_WORK_S, MOST_WORK_S)

    async with standin.Fleet(ZONES) as fleet:
        rules = [standin.route("r-order", HOST, "/order/", "non_idempotent", "facturacion", 15000, 800)]
        await fleet.store.put("op/config", standin.config(7, rules, [("facturacion", 110)]))
        searchers = []
        for number in range(SEARCHERS):
            is_garbling = number < round(SEARCHERS * GARBLING_SHARE)
            searcher = standin.Searcher(
                record, f"i-{number:04x}", "facturacion", ZONES[number % 3], work, SLOTS, QUEUE,
                double=double if is_garbling else None,
            )
            await searcher.start(fleet.store)
            searchers.append(searcher)
        await fleet.start_vms()
        answers = {}
        end = record.now() + BEFORE_S + TROUBLE_S + AFTER_S

        async def client(number):
            client = standin.Client(record, fleet.vms[number % len(fleet.vms)], HOST)
            for turn in range(10_000):
                if record.now() >= end:
                    break
                request = f"{number:04x}{turn:06x}"
                try:
                    reply = await client.send(
                        request, "POST", f"/order/{request}", DEADLINE_MS, b"x" * 300
                    )
                    answers[request] = reply[0] if reply else None
                    if reply and reply[0] in PROMISES:
                        await asyncio.sleep(min(float(reply[1].get("retry-after", "0.1")), 1.5))
                except (OSError, asyncio.TimeoutError):
                    answers[request] = None
                await asyncio.sleep(rng.random() * 0.1)
            client.close()

        if has_trouble:
            begin = record.now() + BEFORE_S
            trouble[:] = [begin, begin + TROUBLE_S]
        await asyncio.gather(*(client(it) for it in range(CLIENTS)))
        await asyncio.sleep(1)
        runs = {}
        for line in record.lines:
            words = line.split()
            if words[1] == "run":
                runs.setdefault(words[3][3:], []).append(words[2][7:])
        rejected = sum(it.rejected for it in searchers)
        served = sum(1 for it in answers.values() if it == 200)
        record.add(
            f"sum    requests={len(answers)} served={served} rejections={rejected} "
            f"answers_of_garbling={counts['answers']} copies={counts['copies']}"
        )
        print(record.lines[-1])
        findings = []
        for request, servers in runs.items():
            if len(servers) > 1:
                findings.append(f"TWICE id={request} ran at {', '.join(servers)}")
        for request, status in answers.items():
            if status in PROMISES and request in runs:
                findings.append(f"REFUSED id={request} got {status} and ran at {runs[request]}")
        return findings


sys.exit(standin.main(case, FOLDER))
