import random
import unittest

from magnoliapier.clock import VirtualClock
from magnoliapier.membership import (
    DemandSelector,
    LeavingHosts,
    Membership,
    MemberStatus,
)
from magnoliapier.messages import Demand, Heartbeat
from magnoliapier.settings import PeerSettings


class Network:
    """Delivers heartbeats between memberships, except in directions that are cut."""

    def __init__(self, centres):
        self.clock = VirtualClock()
        seeds = [
            PeerSettings(name=name, data_centre=centre, address="127.0.0.1:1")
            for name, centre in centres.items()
        ]
        self.nodes = {
            name: Membership(self.clock, name, centre, 1, seeds, random.Random(number))
            for number, (name, centre) in enumerate(centres.items())
        }
        self.centres = centres
        self.cuts = set()
        self.staged = dict.fromkeys(centres, 0)

    def run(self, seconds):
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            for name, node in self.nodes.items():
                node.tick()
                for member in node.due():
                    if (name, member.name) not in self.cuts:
                        self.deliver(name, node, member)

    def deliver(self, name, node, member):
        heartbeat = Heartbeat(
            name=name,
            data_centre=self.centres[name],
            incarnation=node.incarnation,
            sent_at_ms=int(self.clock.monotonic() * 1000),
            staged=self.staged[name],
            suspected=[member.name] if node.suspects(member) else [],
        )
        self.nodes[member.name].receive(heartbeat, "127.0.0.1:2")

    def status(self, name, of):
        return self.nodes[name].members[of].status


class MembershipTests(unittest.TestCase):
    def setUp(self):
        self.network = Network({"a": "dc-1", "b": "dc-1", "c": "dc-2"})
        self.network.run(3)

    def test_silence_leads_to_suspicion_and_death(self):
        self.network.cuts = {("b", "a"), ("a", "b")}
        self.network.run(1.9)
        self.assertIs(self.network.status("a", "b"), MemberStatus.SUSPECTED)
        self.assertIs(self.network.status("a", "c"), MemberStatus.ALIVE)
        self.network.run(4)
        self.assertIs(self.network.status("a", "b"), MemberStatus.DEAD)

    def test_healed_partition_merges_on_both_sides(self):
        """Guards against peers that stay dead to each other after a partition heals."""
        self.network.cuts = {("b", "a"), ("a", "b")}
        self.network.run(20)
        self.network.cuts = set()
        self.network.run(11)
        for pair in (("a", "b"), ("b", "a")):
            self.assertIs(self.network.status(*pair), MemberStatus.ALIVE)

    def test_one_way_cut_is_seen_from_both_ends(self):
        """Guards against waiting for a peer that cannot hear this process."""
        self.network.cuts = {("a", "b")}
        self.network.run(8)
        self.assertIs(self.network.status("b", "a"), MemberStatus.DEAD)
        self.assertTrue(self.network.nodes["a"].members["b"].suspects_us)
        self.assertIsNone(self.network.nodes["a"].highest_peer_staged())
        self.network.cuts = set()
        self.network.run(6)
        self.assertEqual(self.network.nodes["a"].highest_peer_staged(), 0)

    def test_delayed_heartbeat_does_not_make_dead_peer_alive(self):
        """Guards against a late datagram that makes a dead peer count as alive."""
        network = self.network
        network.cuts = {("b", "a")}
        network.run(6)
        old = Heartbeat(name="b", data_centre="dc-1", incarnation=1, sent_at_ms=10**9)
        self.assertIsNone(network.nodes["a"].receive(old, "127.0.0.1:2"))
        restarted = Heartbeat(name="b", data_centre="dc-1", incarnation=2)
        self.assertIsNotNone(network.nodes["a"].receive(restarted, "127.0.0.1:2"))

    def test_reordered_heartbeat_is_ignored(self):
        node = self.network.nodes["a"]
        for sent, accepted in ((10**6, True), (10**6 - 1, False), (10**6, False)):
            beat = Heartbeat(
                name="b", data_centre="dc-1", incarnation=9, sent_at_ms=sent
            )
            self.assertEqual(node.receive(beat, "x") is not None, accepted)

    def test_pull_source_is_ahead_and_preferably_local(self):
        self.network.staged.update(b=5, c=9)
        self.network.run(2)
        self.assertEqual(self.network.nodes["a"].pull_source(3).name, "b")
        self.assertEqual(self.network.nodes["a"].pull_source(7).name, "c")
        self.assertIsNone(self.network.nodes["a"].pull_source(9))


class LeavingHostsTests(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.leaving = LeavingHosts(self.clock)

    def test_peer_signs_are_not_passed_on(self):
        """Guards against two peers that renew an expired sign for each other."""
        self.assertTrue(self.leaving.add_peer_signs(["w-1"]))
        self.assertTrue(self.leaving.add_own_signs(["w-2"]))
        self.assertFalse(self.leaving.add_own_signs(["w-1", "w-2"]))
        self.clock.advance(11)
        self.assertEqual(self.leaving.current(), ["w-1", "w-2"])
        self.clock.advance(20)
        self.assertEqual(self.leaving.current(), [])

    def test_every_sign_is_sent_in_turn(self):
        """Guards against signs that are never sent when many hosts fail at once."""
        hosts = {f"w-{number}" for number in range(125)}
        self.leaving.add_own_signs(sorted(hosts))
        sent = set()
        for _ in range(8):
            batch = self.leaving.signs_to_send()
            self.assertLessEqual(len(batch), 32)
            sent.update(batch)
        self.assertEqual(sent, hosts)


class DemandSelectorTests(unittest.TestCase):
    def test_receiver_that_merges_differences_sees_the_demand(self):
        """Guards against a demand that stays stale after a lost heartbeat."""
        differences, received = DemandSelector(), {}
        demand = [Demand(f"s-{n:02}", n, 1) for n in range(20)]
        for turn in range(30):
            present = demand if turn < 25 else []
            items = differences.select({item.service: item for item in present})
            self.assertLessEqual(len(items), 9)
            if turn != 1:
                received.update({item.service: item for item in items})
            if turn == 24:
                self.assertEqual(received, {d.service: d for d in demand})
        self.assertEqual({d.queued for d in received.values()}, {0})
