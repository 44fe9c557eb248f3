"""What the cases on the usage duty share: a small deployment with the contracts
of sabarmati-routes-grown, its clients, and the check of the rule ONE."""

import asyncio

import rig as r

HOST = "ficu95.example"
KEYS = ["pihhacruddedev3nax7u", "27gxprymh2rrytapjsuj"]


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
        "tenants": [{"name": "hule930", "apiKeys": [KEYS[0]], "priority": 1},
                    {"name": "fida11", "apiKeys": [KEYS[1]], "priority": 2}]}


def make_rig(keep_s, relays=4):
    rig = r.Rig(zones=("gujarat-west-a", "gujarat-west-b", "gujarat-west-c"), keep_s=keep_s,
                bounds={"contactMs": 4000, "ackMs": 6000, "catchUpS": 6, "drainMs": 3000,
                        "configApplyMs": 3000, "maxSkewMs": 6000, "revokeStrict": True,
                        "revokeMs": 5000, "enforceFencing": False, "reportWindowS": 5,
                        "usageOff": 0.05, "usageLateS": 10, "recoveryS": 15},
                contracts=("base", "drain", "config", "cost", "retry", "recover", "health",
                           "pool", "split", "stream", "engine", "tenants", "leader",
                           "pressure", "platform"))
    rig.add_cloud(["usage_report", "autoscale"])
    rig.add_relays(relays)
    for zone in rig.zones:
        rig.add_runner("wuno96b", zone)
    return rig


async def traffic(rig, sent):
    """Ten lookups a second, spread over the relays and two tenants."""
    n = 0
    while True:
        await asyncio.sleep(0.1)
        n += 1

        async def one(relay=rig.relays[n % len(rig.relays)], key=KEYS[n % 2]):
            status, _, _ = await r.ask(relay.front, "GET", "/cufi504/2f", HOST,
                                       [("Authorization", f"Token {key}")], timeout=1.5)
            sent[status] = sent.get(status, 0) + 1
        asyncio.create_task(one())


def lower_tokens(calls):
    """ONE, enforceFencing false: reports with a lower token than seen before."""
    highest, found = 0, []
    for call in calls:
        if call["path"] == "/usage":
            if call["token"] < highest:
                found.append(call)
            highest = max(highest, call["token"])
    return found


def turns(calls, lease_s):
    """ONE, enforceFencing false: holders in the order A, B, A inside leaseMs."""
    found = []
    for i, last in enumerate(calls):
        inside = [it for it in calls[:i] if last["at"] - it["at"] < lease_s]
        for j, middle in enumerate(inside):
            first = [it for it in inside[:j] if it["holder"] == last["holder"]]
            if middle["holder"] != last["holder"] and first:
                found.append((first[-1], middle, last))
                break
    return found


def note_logs(rig):
    for name, line in rig.logs(r"duties acquired|duty holder changed|duties lost"):
        rig.record(f"log of {name}: {line[:300]}")
