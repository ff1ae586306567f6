"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it.

The workers' entries are written by the stand-in workers through a path of
their own (/standin/entry); the system has no access to it.
"""

import asyncio
import base64
import json
import time
import urllib.parse

import http11

PAGE_ITEMS = 500
EVENTS_KEPT_S = 20.0


class Store:
    def __init__(self):
        self.revision = 1
        self.items = {}      # key -> dict(value, revision, created, lease)
        self.leases = {}     # id -> [expiry, term in s, set of keys]
        self.next_lease = 1000
        self.events = []     # (time, revision, key, item or None)
        self.compacted = 0
        self.changed = asyncio.Condition()
        self.server = None
        self.entries = {}    # key -> (time of the last beat, beat in s)
        # Called with each transaction before it is applied. Returns None, or a
        # time in seconds: the transaction gets no answer and is applied then.
        self.delay_transaction = None

    async def start(self, host, port):
        self.server = await http11.serve(self.handle, host, port)
        self.expiry = asyncio.ensure_future(self.expire_leases())

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (expiry, _, keys) in list(self.leases.items()):
                if now >= expiry:
                    await self.end_lease(lease)
            for key, (beat_at, beat) in list(self.entries.items()):
                if now - beat_at > 3 * beat:
                    del self.entries[key]
                    await self.apply([], [key])

    async def end_lease(self, lease):
        _, _, keys = self.leases.pop(lease)
        await self.apply([], [key for key in sorted(keys)
                              if self.items.get(key, {}).get("lease") == lease])

    async def apply(self, puts, deletes):
        """Applies writes and deletes as one change; returns its revision."""
        self.revision += 1
        now = time.monotonic()
        for key, value, lease in puts:
            old = self.items.get(key)
            if old and old["lease"] in self.leases:
                self.leases[old["lease"]][2].discard(key)
            created = old["created"] if old else self.revision
            self.items[key] = {"value": value, "revision": self.revision,
                               "created": created, "lease": lease}
            if lease:
                self.leases[lease][2].add(key)
            self.events.append((now, self.revision, key, dict(self.items[key])))
        for key in deletes:
            old = self.items.pop(key, None)
            if old is None:
                continue
            if old["lease"] in self.leases:
                self.leases[old["lease"]][2].discard(key)
            self.events.append((now, self.revision, key, None))
        while self.events and now - self.events[0][0] > EVENTS_KEPT_S:
            self.compacted = self.events.pop(0)[1]
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def take_beat(self, key, entry, beat_s):
        """An entry changes when more than Seq changes."""
        self.entries[key] = (time.monotonic(), beat_s)
        old = self.items.get(key)
        known = json.loads(old["value"]) if old else {}
        if {**known, "Seq": 0} != {**entry, "Seq": 0}:
            await self.apply([(key, json.dumps(entry).encode(), 0)], [])

    @staticmethod
    def encode(key, item):
        return {"Key": key, "Value": base64.b64encode(item["value"]).decode(),
                "Revision": item["revision"], "Created": item["created"],
                "Lease": item["lease"]}

    async def handle(self, request):
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        path = parts.path
        if path == "/-/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, json.dumps({"CurrentRev": self.revision}).encode()
            return 200, json.dumps({**self.encode(query["Key"], item),
                                    "CurrentRev": self.revision}).encode()
        if path == "/-/kv-range":
            return self.list(query)
        if path == "/-/kv-watch":
            return await self.watch(query)
        if path == "/-/kv-txn":
            return await self.transact(json.loads(request.body))
        if path == "/-/kv-lease":
            term = max(1.0, json.loads(request.body)["TtlMs"] / 1000)
            self.next_lease += 1
            self.leases[self.next_lease] = [time.monotonic() + term, term, set()]
            return 200, json.dumps({"Lease": self.next_lease,
                                    "TtlMs": int(term * 1000)}).encode()
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, b""
            self.leases[lease][0] = time.monotonic() + self.leases[lease][1]
            return 200, json.dumps({"Lease": lease, "TtlMs": int(
                self.leases[lease][1] * 1000)}).encode()
        if path.startswith("/-/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, b""
            await self.end_lease(lease)
            return 200, b"{}"
        if path == "/standin/entry":
            beat = json.loads(request.body)
            await self.take_beat("servers/" + beat["id"], beat["entry"], beat["beat_s"])
            return 200, b"{}"
        return 400, b""

    def list(self, query):
        keys = sorted(key for key in self.items
                      if key.startswith(query["Prefix"])
                      and key > query.get("After", ""))
        page = keys[:PAGE_ITEMS]
        return 200, json.dumps({
            "items": [self.encode(key, self.items[key]) for key in page],
            "Truncated": len(keys) > len(page),
            "CurrentRev": self.revision}).encode()

    async def watch(self, query):
        after = int(query["After"])
        prefix = query["Prefix"]
        end = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            if after < self.compacted:
                return 410, b""
            found = []
            for _, revision, key, item in self.events:
                if revision <= after or not key.startswith(prefix):
                    continue
                found.append(self.encode(key, item) if item else
                             {"Key": key, "Revision": revision, "Tombstone": True})
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, json.dumps({"events": found,
                                        "CurrentRev": self.revision}).encode()
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, body):
        delay = self.delay_transaction(body) if self.delay_transaction else None
        if delay is not None:
            asyncio.ensure_future(self.apply_later(body, delay))
            raise http11.Silence()
        return await self.try_transaction(body)

    async def apply_later(self, body, delay):
        await asyncio.sleep(delay)
        await self.try_transaction(body)

    async def try_transaction(self, body):
        conditions = body.get("Precondition", [])
        failed = any(self.items.get(row["Key"], {}).get("revision", 0)
                     != row["Revision"] for row in conditions)
        if failed:
            rows = [self.encode(row["Key"], self.items[row["Key"]])
                    for row in conditions if row["Key"] in self.items]
            return 412, json.dumps({"items": rows}).encode()
        puts = [(row["Key"], base64.b64decode(row["Value"]), row.get("Lease", 0))
                for row in body.get("Puts", [])]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, b""
        if any(key.startswith(("op/", "servers/")) for key, _, _ in puts):
            return 403, b""
        revision = await self.apply(puts, body.get("Deletes", []))
        return 200, json.dumps({"Revision": revision}).encode()
