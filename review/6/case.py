"""Two relays hold the duty at once after one of them was restarted."""

import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig"))
import rig as r

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The sheet: "20 s of history".
KEEP_S = float(os.environ.get("KEEP_S", "20"))
# The restart comes when the first records of the stream have expired.
RESTART_AT = float(os.environ.get("RESTART_AT", str(KEEP_S + 12)))
WATCH_S = 35
OUT = os.environ.get("OUT", str(pathlib.Path(__file__).parent))
HOST = "ficu95.example"


def config():
    return {
        "version": 7,
        "routes": [{"name": "r-1", "host": HOST, "pathPrefix": "/cufi504/",
                    "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 150,
                    "priority": 2, "service": "wuno96b", "maxAttempts": 2,
                    "public": False, "sticky": False}],
        "services": [{"name": "wuno96b", "healthPath": "/health", "maxConns": 610,
                      "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "hule930", "apiKeys": ["pihhacruddedev3nax7u"], "priority": 1},
                    {"name": "fida11", "apiKeys": ["27gxprymh2rrytapjsuj"], "priority": 2}]}


async def traffic(rig, sent):
    keys = ["pihhacruddedev3nax7u", "27gxprymh2rrytapjsuj"]
    n = 0
    while True:
        await asyncio.sleep(0.1)
        n += 1
        relay = rig.relays[n % len(rig.relays)]

        async def one(key=keys[n % 2]):
            status, _, _ = await r.ask(relay.front, "GET", "/cufi504/2f", HOST,
                                       [("Authorization", f"Token {key}")], timeout=1.5)
            sent[status] = sent.get(status, 0) + 1
        asyncio.create_task(one())


def broken(calls):
    """ONE, enforceFencing false: a lower fencing token after a higher one."""
    highest, found = 0, []
    for call in calls:
        if call["path"] == "/usage":
            if call["token"] < highest:
                found.append(call)
            highest = max(highest, call["token"])
    return found


async def main():
    r.check_build()
    rig = r.Rig(zones=("gujarat-west-a", "gujarat-west-b", "gujarat-west-c"), keep_s=KEEP_S,
                bounds={"contactMs": 4000, "drainMs": 3000, "configApplyMs": 3000,
                        "revokeStrict": True, "revokeMs": 5000, "enforceFencing": False,
                        "reportWindowS": 5, "usageOff": 0.05, "usageLateS": 10},
                contracts=("base", "drain", "config", "cost", "retry", "recover", "health",
                           "pool", "split", "stream", "engine", "tenants", "leader",
                           "pressure", "platform"))
    rig.add_cloud(["usage_report", "autoscale"])
    rig.add_relays(4)
    for zone in rig.zones:
        rig.add_runner("wuno96b", zone)
    sent, task, code = {}, None, 2
    try:
        await rig.start(config())
        if not await rig.all_ready():
            rig.finish(OUT, "could not run: relays not ready")
            return 2
        start = time.monotonic()
        task = asyncio.create_task(traffic(rig, sent))
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
        found = broken(rig.cloud.calls)
        holders = {call["holder"] for call in rig.cloud.calls}
        rig.record(f"answers to clients by status: {sent}")
        rig.record(f"holders that reported: {sorted(holders)}")
        for name, line in rig.logs(r"duties acquired|duty holder changed|duties lost"):
            rig.record(f"log of {name}: {line[:300]}")
        code = 1 if found else 0
        if not found and TROUBLE is False and len(holders) != 1:
            code = 2
        rig.finish(OUT,
                   f"ONE broken: {len(found)} calls with a lower fencing token after a higher one"
                   if found else "ONE held: no lower fencing token after a higher one")
    finally:
        if task:
            task.cancel()
        await rig.stop()
    return code


sys.exit(asyncio.run(main()))
