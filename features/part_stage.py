"""A simulated fleet whose callers send prompts in parts, one of which crashes endpoints."""

import random
import typing as t

from rookspring_fakes.fleet_callers import FleetCallers

SHARED = 0x10
FATAL_PART = 0xFA
# Parts that a few requests share, besides the one that all share.
SOME = range(0x100, 0x128)
STEP_S = 0.02
RETRY_S = 0.5
# Time from an endpoint's crash until all nodes must know, in seconds.
CONTACT_S = 3.0


class Sent(t.NamedTuple):
    """One request: when it was sent, and whether its prompt has the fatal part."""

    at: float
    key: str
    fingerprint: str
    fatal: bool
    first_try: bool


class PartStage:
    """Plays requests of a fleet, of which those with one part crash what runs them.

    :param place: of the fatal part in its prompts: ``first``, ``second`` after the part that all
        share, or ``second, once sound``: one that sound requests had before it became fatal.
    """

    def __init__(self, nodes, seed, place="second", crashes=0):
        self.random = random.Random(seed)
        self.callers = FleetCallers(nodes, endpoints=10)
        self.runners = self.callers.runners
        self.place = place
        self.sent = []
        self.due = []
        self.count = 0
        for _ in range(crashes):
            name = f"e{self.random.randrange(10)}"
            at = self.now + self.random.uniform(0.0, 60.0)
            self.callers.fleet.at(at, lambda name=name: self.runners.end(name))

    @property
    def now(self):
        return self.callers.fleet.now

    def _parts(self, fatal):
        some = self.random.choice(SOME)
        once_sound = self.place == "second, once sound" and not self.runners.fatal_parts
        if not fatal:
            return (SHARED, FATAL_PART if once_sound and some < SOME[8] else some)
        return (FATAL_PART, some) if self.place == "first" else (SHARED, FATAL_PART)

    def _send(self, fatal, fingerprint="", first_try=True):
        if not fingerprint:
            self.count += 1
            fingerprint = f"{'x' if fatal else 's'}{self.count}"
            self.runners.parts[fingerprint] = self._parts(fatal)
            self.runners.durations_s[fingerprint] = self.random.uniform(0.3, 2.0)
        name = self.random.choice(self.callers.names())
        parts = self.runners.parts[fingerprint]
        key = self.callers.send(name, fingerprint, True, 2, parts)
        self.sent.append(Sent(self.now, key, fingerprint, fatal, first_try))
        if first_try:
            self.due.append((self.now + RETRY_S, self.sent[-1]))

    def play(self, seconds, sound_rate=24.0, fatal_rate=0.0):
        """Send requests; each caller whose request fails comes again once."""
        end = self.now + seconds
        if fatal_rate > 0.0:
            self.runners.fatal_parts.add(FATAL_PART)
        while self.now < end:
            if self.random.random() < sound_rate * STEP_S:
                self._send(False)
            if self.random.random() < fatal_rate * STEP_S:
                self._send(True)
            while self.due and self.due[0][0] <= self.now:
                _, one = self.due.pop(0)
                if self.callers.refusal(one.key) is not None:
                    self._send(one.fatal, one.fingerprint, False)
            self.callers.fleet.run(STEP_S)

    def fatal_crashes(self):
        """Return when endpoints crashed under a request with the fatal part."""
        return [
            one.at
            for one in self.runners.crashes
            if any(name[0] == "x" for name in one.fingerprints)
        ]

    def late_arrivals(self):
        """Count the arrivals with the fatal part later than CONTACT_S after the fifth crash."""
        crashes = self.fatal_crashes()
        if len(crashes) < 5:
            return 0
        return sum(
            one.at > crashes[4] + CONTACT_S and one.fingerprint[0] == "x"
            for one in self.runners.arrivals
        )

    def share_begun(self, begin, end):
        """Return the share of the sound first tries of a time that reached an endpoint."""
        reached = {one.fingerprint for one in self.runners.arrivals}
        refused = {refusal.request_id for _, refusal in self.callers.fleet.refusals}
        chosen = [
            one for one in self.sent if one.first_try and not one.fatal and begin <= one.at < end
        ]
        begun = sum(one.fingerprint in reached and one.key not in refused for one in chosen)
        return begun / max(1, len(chosen))

    def convicted_parts(self):
        """Return the subjects other than the fatal part and requests that a node has convicted."""
        found = set()
        for node in self.callers.fleet.live():
            found.update(one.fingerprint for one in node.state.suspects.verdicts(self.now))
        return {one for one in found if one[0] != "x" and not one.endswith(f":{FATAL_PART:x}")}
