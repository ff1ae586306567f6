"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it.

`Store.put` and `Store.delete` are for the operator and the workers, whose keys
the system may not write.
"""

import asyncio
import base64
import time

import httpd

ANSWER_S = 0.004
MOST_ENTRIES = 32
PAGE_ITEMS = 500


class Store:
    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 1000
        self.changed = asyncio.Event()

    # Changes.

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _apply(self, puts, deletes):
        self.revision += 1
        for put in puts:
            key = put["Key"]
            old = self.items.get(key)
            item = {"Key": key, "Value": put["Value"],
                    "Revision": self.revision,
                    "Created": old["Created"] if old else self.revision,
                    "Lease": put.get("Lease", 0)}
            self.items[key] = item
            self.history.append(item)
        for key in deletes:
            if self.items.pop(key, None):
                self.history.append({"Key": key, "Revision": self.revision,
                                     "Tombstone": True})
        self._notify()
        return self.revision

    def put(self, key, text):
        value = base64.b64encode(text.encode()).decode()
        return self._apply([{"Key": key, "Value": value}], [])

    def delete(self, key):
        if key in self.items:
            self._apply([], [key])

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [i for i, l in self.leases.items() if l[1] <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [k for k, i in self.items.items() if i["Lease"] == lease]
        if keys:
            self._apply([], keys)
        return True

    # Calls.

    async def handle(self, request):
        await asyncio.sleep(ANSWER_S)
        path = request.path
        if request.method == "GET":
            if path == "/-/kv-key":
                return self.get(request.query)
            if path == "/-/kv-range":
                return self.list(request.query)
            if path == "/-/kv-watch":
                return await self.watch(request.query)
        if path == "/-/kv-txn":
            return self.txn(request.json())
        if path == "/-/kv-lease":
            ttl = request.json()["TtlMs"]
            self.last_lease += 1
            self.leases[self.last_lease] = [ttl, time.monotonic() + ttl / 1000]
            return 200, {"Lease": self.last_lease, "TtlMs": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0] / 1000
            return 200, {"TtlMs": lease[0]}
        if path.startswith("/-/kv-lease-end/"):
            ended = self.end_lease(int(path.rsplit("/", 1)[1]))
            return (200 if ended else 404), {}
        return 404, {}

    def get(self, query):
        item = self.items.get(query["Key"])
        if item is None:
            return 404, {"CurrentRev": self.revision}
        return 200, {**item, "CurrentRev": self.revision}

    def list(self, query):
        prefix, after = query.get("Prefix", ""), query.get("After", "")
        keys = sorted(k for k in self.items if k.startswith(prefix)
                      and (not after or k > after))
        return 200, {"items": [self.items[k] for k in keys[:PAGE_ITEMS]],
                     "Truncated": len(keys) > PAGE_ITEMS,
                     "CurrentRev": self.revision}

    async def watch(self, query):
        prefix, after = query.get("Prefix", ""), int(query["After"])
        until = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            events = [e for e in self.history
                      if e["Revision"] > after and e["Key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "CurrentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, body):
        conditions = body.get("Precondition", [])
        puts, deletes = body.get("Puts", []), body.get("Deletes", [])
        if len(conditions) + len(puts) + len(deletes) > MOST_ENTRIES:
            return 400, {}
        keys = [p["Key"] for p in puts] + deletes
        if any(k.startswith(("op/", "servers/")) for k in keys):
            return 403, {}
        if any(p.get("Lease", 0) and p["Lease"] not in self.leases
               for p in puts):
            return 404, {}
        current = [self.items.get(c["Key"], {"Key": c["Key"], "Revision": 0})
                   for c in conditions]
        if any(c["Revision"] != now["Revision"]
               for c, now in zip(conditions, current)):
            return 412, {"items": current, "CurrentRev": self.revision}
        return 200, {"Revision": self._apply(puts, deletes)}

    async def start(self, host, port):
        self.expiry = asyncio.ensure_future(self.expire_leases())
        return await httpd.serve(host, port, self.handle)
