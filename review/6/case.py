"""Two relays hold the duty at once after one of them was restarted."""

import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig"))
import duties
import rig as r

OUT = os.environ.get("OUT", str(pathlib.Path(__file__).parent))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The sheet: "20 s of history".
KEEP_S = float(os.environ.get("KEEP_S", "20"))
# The restart comes when the first records of the stream have expired.
RESTART_AT = float(os.environ.get("RESTART_AT", str(KEEP_S + 12)))
WATCH_S = 35


async def main():
    r.check_build()
    rig = duties.make_rig(KEEP_S)
    sent, task, code = {}, None, 2
    try:
        await rig.start(duties.config())
        if not await rig.all_ready():
            rig.finish(OUT, "could not run: relays not ready")
            return 2
        start = time.monotonic()
        task = asyncio.create_task(duties.traffic(rig, sent))
        await asyncio.sleep(RESTART_AT - 2)
        if not rig.cloud.calls:
            rig.finish(OUT, "could not run: no usage report")
            return 2
        holder = rig.cloud.calls[-1]["holder"]
        rig.record(f"holder of the duty: {holder}")
        await asyncio.sleep(max(0, start + RESTART_AT - time.monotonic()))
        # The first machine, in the order of names, that does not hold the duty.
        other = sorted((it for it in rig.relays if it.name != holder), key=lambda it: it.name)[0]
        if TROUBLE:
            other.signal(signal.SIGTERM)
            await other.ended(8)
            await asyncio.sleep(0.5)
            await other.start()
        await asyncio.sleep(WATCH_S)
        found = duties.lower_tokens(rig.cloud.calls)
        rig.record(f"answers to clients by status: {sent}")
        rig.record(f"holders that reported: {sorted({it['holder'] for it in rig.cloud.calls})}")
        duties.note_logs(rig)
        code = 1 if found else 0
        rig.finish(OUT, f"ONE broken: {len(found)} reports with a lower token after a higher one"
                   if found else "ONE held: no report with a lower token after a higher one")
    finally:
        if task:
            task.cancel()
        await rig.stop()
    return code


sys.exit(asyncio.run(main()))
