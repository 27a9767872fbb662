"""A configuration grows by many routes; then versions come in quick succession, a few times."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness"))
from stand import *  # noqa: E402, F403

WARM_UP_S = 9
# Two `big_config` of the largest count in the site files.
ROUTES = 2 * 1_400
VALUE_BYTES = 1_048_576
# The densest `config_storm` of the site files.
STORM_S = 1.5
STORM_GAP_S = 0.06
STORM_EVERY_S = 6.0
STORMS = 14


async def main():
    deployment = Deployment(HERE, machines=2)
    record = deployment.record
    sent = [0]
    largest = [0]

    def configuration(version):
        deployment.version = version
        fields = deployment.config()
        for number in range(ROUTES):
            name, prefix = f"r-{number}", f"/v/{number}/"
            # Successive versions change time-outs.
            timeout = 3_000 + version % 100
            fields["routes"].append(
                route(name, "x.example", prefix, "idempotent", timeout, 200, shards=deployment.shards, topK=50, minShare=0.89)
            )
        return fields

    try:
        await deployment.start()
        await asyncio.sleep(WARM_UP_S)
        deployment.begin_traffic(factor=1.5)
        fields = configuration(8)
        largest[0] = len(json.dumps(fields, separators=(",", ":")))
        deployment.store.put("op/config", fields)
        await asyncio.sleep(4)
        version = 8
        for number in range(STORMS):
            begun = time.monotonic()
            while disrupted() and time.monotonic() < begun + STORM_S:
                version += 1
                deployment.store.put("op/config", configuration(version))
                sent[0] += 1
                await asyncio.sleep(STORM_GAP_S)
            await asyncio.sleep(max(0, begun + STORM_EVERY_S - time.monotonic()))
            sizes = " ".join(f"{it.name}={it.rss() / 1e6:.0f}" for it in deployment.nodes)
            record.write("memory", f"MB {sizes}, version {version}")
            print(f"storm {number + 1}: version {version}, memory in MB {sizes}")
        await asyncio.sleep(0.5)
    finally:
        for node in deployment.nodes:
            node.is_wanted = False
        peaks = {it.name: f"{it.peak / 1e6:.0f} MB" for it in deployment.nodes}
        kills = {it.name: len(it.kills) for it in deployment.nodes}
        deployment.stop()
    if largest[0] > VALUE_BYTES or not any(it.status == 200 for it in deployment.attempts):
        print(f"the largest configuration has {largest[0]} bytes; or no request was served")
        return 2
    ran = {id for searcher in deployment.searchers for _, id, _, _ in searcher.ran}
    lost = [it for it in deployment.attempts if it.is_kept and it.id in ran and (it.error or "").startswith("closed")]
    print(f"{sent[0]} versions in storms, the largest configuration has {largest[0]} bytes")
    print(f"peak memory {peaks} of 260 MB, killed for memory {kills}")
    print(f"{len(lost)} requests of kept connections were passed on to sound searchers and lost; more than 3 break LOST")
    return 1 if len(lost) > 3 else 0


run(main)
