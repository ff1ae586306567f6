"""What the members of gangs know of each other: they wait until all are there,
work together, and end together.
"""

import time

SILENCE_S = 0.25


class GangHub:
    def __init__(self, timeout_s):
        self.timeout_s = timeout_s
        self.gangs = {}
        self.seen = {}

    def on_report(self, report):
        """Returns rows of task, run and what the member does."""
        now = time.monotonic()
        worker = report["worker"]
        self.seen[worker] = now
        for task, run, how in report["ends"]:
            gang = self.gangs.get((task.rsplit(".", 1)[0], run))
            if gang and not gang["over"]:
                gang["over"] = "done" if how == "done" else "broken"
        present = set()
        for task, run, size, base_ms, work_ms in report["members"]:
            key = (task.rsplit(".", 1)[0], run)
            gang = self.gangs.setdefault(key, {
                "members": {}, "size": size, "began": None, "over": None})
            gang["members"].setdefault(task, {
                "worker": worker, "joined": now, "base_ms": base_ms})
            gang["work_ms"] = work_ms
            present.add((key, task))
        for key, gang in self.gangs.items():
            for task, member in gang["members"].items():
                if member["worker"] == worker and (key, task) not in present:
                    gang["over"] = gang["over"] or "broken"
        answer = []
        for task, run, _, _, _ in report["members"]:
            answer.append([task, run, self.word(
                self.gangs[(task.rsplit(".", 1)[0], run)], task, now)])
        return answer

    def word(self, gang, task, now):
        if gang["over"]:
            return gang["over"]
        silent = any(now - self.seen[m["worker"]] > SILENCE_S
                     for m in gang["members"].values())
        if silent:
            gang["over"] = "broken"
        elif gang["began"] is None and len(gang["members"]) == gang["size"]:
            gang["began"] = now
        elif gang["began"] is None:
            waited = now - gang["members"][task]["joined"]
            return "alone" if waited > self.timeout_s else "waits"
        if gang["over"]:
            return gang["over"]
        base = min(m["base_ms"] for m in gang["members"].values())
        if base + (now - gang["began"]) * 1000 >= gang["work_ms"]:
            gang["over"] = "done"
            return "done"
        return "works"
