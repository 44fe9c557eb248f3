"""Relays that were restarted refuse to go on with streams that others began."""

import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig"))
import engines
import rig as r

OUT = os.environ.get("OUT", str(pathlib.Path(__file__).parent))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# ROLL=0 leaves the planned restarts out, for comparison.
ROLL = os.environ.get("ROLL", "1") != "0"
CONTACT_S = 3.0
RATE = 45  # streams a second; the site has 47


async def main():
    r.check_build()
    rig = r.Rig()
    rig.add_relays(3)
    for i in range(6):
        rig.add_runner("huvo11a", rig.zones[i % 3], engines.Engine,
                       stage="prefill" if i < 3 else "decode")
    streams, touched, tasks, code = [], {}, set(), 2

    def in_touch(relay, when):
        return any(a + CONTACT_S <= when <= b for a, b in touched[relay.name])

    async def begin(n):
        streams.append(await engines.run_stream(rig.relays, rig.relays[n % 3]))

    async def traffic():
        n = 0
        while True:
            await asyncio.sleep(1 / RATE)
            n += 1
            task = asyncio.create_task(begin(n))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    work = None
    try:
        await rig.start(engines.config())
        begun = time.monotonic()
        for it in rig.relays:
            touched[it.name] = [[begun, 1e18]]
        if not await rig.all_ready():
            rig.finish(OUT, "could not run: relays not ready")
            return 2
        await asyncio.sleep(2)
        work = asyncio.create_task(traffic())
        # Streams are known to be of the only version 15 s after a start.
        await asyncio.sleep(24)
        if TROUBLE:
            for it in rig.relays[:2] if ROLL else []:
                it.signal(signal.SIGTERM)
                touched[it.name][-1][1] = time.monotonic()
                await it.ended(8)
                await asyncio.sleep(0.5)
                await it.start()
                touched[it.name].append([time.monotonic(), 1e18])
            await asyncio.sleep(4)
            last = rig.relays[2]
            last.signal(signal.SIGKILL)
            touched[last.name][-1][1] = time.monotonic()
            await last.ended(2)
            await asyncio.sleep(0.5)
            await last.start()
            touched[last.name].append([time.monotonic(), 1e18])
        await asyncio.sleep(8)
        work.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        new = [it.tries[0] for it in streams if in_touch(it.tries[0][1], it.tries[0][0])]
        began = sum(1 for it in new if it[4])
        taken, went_on, statuses = 0, 0, {}
        for stream in streams:
            again = [it for it in stream.tries if it[2] and in_touch(it[1], it[0])]
            if again:
                taken += 1
                went_on += any(it[4] for it in again) or stream.whole
                for it in again:
                    key = f"{it[1].name} {it[3]}"
                    statuses[key] = statuses.get(key, 0) + 1
        rig.record(f"streams: {len(streams)}, whole {sum(it.whole for it in streams)}")
        for stream in streams:
            if len(stream.tries) > 1:
                rig.record(f"stream {stream.first}, {len(stream.events)} events: " + "; ".join(
                    f"{it[0] - rig.begin:.2f} {'taken up' if it[2] else 'sent'} at {it[1].name}, "
                    f"answered {it[3]}, {it[4]} events" for it in stream.tries))
        rig.record(f"new streams at machines in touch: {len(new)}, began {began}")
        rig.record(f"taken up again at machines in touch: {taken}, went on {went_on}; {statuses}")
        for name, line in rig.logs("version that began the stream")[:5]:
            rig.record(f"log of {name}: {line[:300]}")
        share_new = began / max(1, len(new))
        broken = taken >= 12 and went_on / taken < 0.5 * share_new
        code = 1 if broken else 0
        rig.finish(OUT, f"LOST {'broken' if broken else 'held'}: {went_on} of {taken} streams "
                   f"went on, {share_new:.2f} of the new ones began")
    finally:
        if work:
            work.cancel()
        await rig.stop()
    return code


sys.exit(asyncio.run(main()))
