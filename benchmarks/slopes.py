"""
Measures how control traffic, CPU and memory grow with the size of the fleet.

Each cost is measured on its own in this process for several values of the size that
it depends on. The figures at the target size are sums of slope times size and are
written to a page. Run as ``python -m benchmarks.slopes --output docs/CAPACITY.md``.
"""

import argparse
import gc
import json
import random
import threading
import time
import tracemalloc
from pathlib import Path

from benchmarks.control_fleet import ControlFleet, make_manifest
from magnoliapier.clock import VirtualClock
from magnoliapier.control_node import Node, encode_entries
from magnoliapier.fleet_log import fold
from magnoliapier.fleet_state import FleetState, LogEntry
from magnoliapier.manifest import canonical_json, digest, make_patch
from magnoliapier.messages import Demand, EntryReport, decode, encode
from magnoliapier.settings import PeerSettings
from magnoliapier.transport import pack_datagram, unpack_datagram

KEY = "benchmark"
UDP_IP_HEADER_BYTES = 28
# Request and status lines, HTTP headers, and TCP/IP headers in both directions.
HTTP_OVERHEAD_BYTES = 620
TARGET = {
    "hosts": 1000,
    "pools": 62,
    "services": 62,
    "data_centres": 8,
    "entry_hosts": 16,
    "changes_a_day": 1500,
    "moves_a_day": 400,
}
LIMITS = {"core_pct": 3.1, "mb": 256.0, "kb_s": 6.0}
VIRTUAL_RUN_S = 10
REPEATS = 3
DAY_S = 86_400
IDLE_RUN_S = 10
# The peers of an entry host if each of the eight data centres has only one.
MIN_PEERS = 7


def commit_entry(state, values, seq):
    """Return the log entry that commits the manifest ``values`` after ``state``."""
    patch = make_patch(state.manifest_values, values)
    body = {"patch": patch, "digest": digest(values)}
    return LogEntry(seq, "manifest_commit", body, f"{seq:032x}", "operator", 1e9)


def make_state(hosts, pools, services=None):
    """Return (state, manifest values) of the given size."""
    values = make_manifest(hosts, pools, services)
    return fold(FleetState(), [commit_entry(FleetState(), values, 1)]), values


class VirtualPeers:
    """
    A measured node and its peers in virtual time.

    Their heartbeats are packed into datagrams and unpacked, but not sent over sockets.
    CPU and traffic are counted for the measured node only.
    """

    def __init__(self, peers, services, state):
        self.clock = VirtualClock(1000.0)
        self.rng = random.Random(1)
        self.services = services
        names = [f"entry-{n:02}" for n in range(peers + 1)]
        centres = {n: f"dc-{i // 2 % 8 + 1}" for i, n in enumerate(names)}
        seeds = [
            PeerSettings(name=n, data_centre=c, address=f"127.0.0.1:{i + 1}")
            for i, (n, c) in enumerate(centres.items())
        ]
        self.nodes = {
            n: Node(self.clock, n, c, seeds, random.Random(i), 1)
            for i, (n, c) in enumerate(centres.items())
        }
        self.names_by_address = {s.address: s.name for s in seeds}
        self.addresses_by_name = {s.name: s.address for s in seeds}
        self.measured_name = names[0]
        for node in self.nodes.values():
            node.follower.offer_state(state)
            node.follower.activate_up_to(state.seq)
        self.sent = self.received = self.sent_bytes = self.received_bytes = 0
        self.cpu_s = 0.0
        self.report_count = 0

    def report_all(self):
        """
        Give each node a new report; encode a view in reply to about half of them.

        Only the CPU time of the measured node counts.
        """
        for name, node in self.nodes.items():
            demand = [
                Demand(f"s-{n:02}", self.rng.randrange(20), self.rng.randrange(64))
                for n in range(self.services)
            ]
            report = EntryReport(name, 1, node.state.seq, demand)
            data = encode(report)
            started = time.process_time()
            node.on_report(decode(data))
            self.report_count += 1
            if self.report_count // len(self.nodes) % 2:
                encode(node.peer_view(name))
            if name == self.measured_name:
                self.cpu_s += time.process_time() - started
            session = node.sessions[name]
            session.registration.record_written(1)
            session.registration.record_log_read(1, 0)

    def run(self, seconds):
        """Advance in steps of 0.1 s; all nodes report in two of every five steps."""
        for step in range(int(seconds * 10)):
            self.clock.advance(0.1)
            if step % 5 < 2:
                self.report_all()
            for name, node in self.nodes.items():
                self.tick(name, node)

    def tick(self, name, node):
        """Run one node's tick and deliver its heartbeats to their targets."""
        started = time.process_time()
        packed = [
            (address, pack_datagram(heartbeat, KEY))
            for address, heartbeat in node.tick().heartbeats
        ]
        if name == self.measured_name:
            self.cpu_s += time.process_time() - started
            self.sent += len(packed)
            self.sent_bytes += sum(
                len(data) + UDP_IP_HEADER_BYTES for _, data in packed
            )
        for address, data in packed:
            target = self.names_by_address[address]
            started = time.process_time()
            heartbeat = unpack_datagram(data, KEY)
            self.nodes[target].on_heartbeat(heartbeat, self.addresses_by_name[name])
            if target == self.measured_name:
                self.cpu_s += time.process_time() - started
                self.received += 1
                self.received_bytes += len(data) + UDP_IP_HEADER_BYTES


def measure_peers(peers, services, state):
    """Return the figures of the run with the least CPU time out of REPEATS runs."""
    runs = [run_peers(peers, services, state) for _ in range(REPEATS)]
    return min(runs, key=lambda run: run["cpu"])


def run_peers(peers, services, state, seconds=VIRTUAL_RUN_S):
    """Return the bytes/s, datagrams/s and CPU seconds per second of one node."""
    fleet = VirtualPeers(peers, services, state)
    fleet.run(5)
    fleet.sent_bytes = fleet.received_bytes = fleet.sent = fleet.received = 0
    fleet.cpu_s = 0.0
    fleet.run(seconds)
    return {
        "sent_b_s": fleet.sent_bytes / seconds,
        "received_b_s": fleet.received_bytes / seconds,
        "datagrams_s": (fleet.sent + fleet.received) / seconds,
        "cpu": fleet.cpu_s / seconds,
    }


def measure_state(hosts, pools):
    """
    Return the figures of a fleet state of the given size.

    They are the sizes in bytes of the state in memory, its snapshot and two log
    entries, and the CPU seconds to fold each entry.
    """
    values = make_manifest(hosts, pools)
    gc.collect()
    tracemalloc.start()
    state = fold(FleetState(), [commit_entry(FleetState(), values, 1)])
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    changed = json.loads(json.dumps(values))
    changed["organisations"]["org"] = {"weight": 2.0}
    entry = commit_entry(state, changed, 2)
    move = LogEntry(
        2,
        "host_drain",
        {"host": "w-0000", "epoch": 2, "target": "spare", "reason": "buffer"},
        "0" * 32,
        "entry-1",
        1e9,
        1,
    )
    return {
        "memory": memory,
        "snapshot": len(canonical_json(state.to_values())),
        "commit_bytes": len(encode_entries([entry])[0]),
        "move_bytes": len(encode_entries([move])[0]),
        "commit_cpu": time_call(lambda: fold(state, [entry])),
        "move_cpu": time_call(lambda: fold(state, [move])),
    }


def time_call(call, repeats=10):
    """Return the least CPU seconds of one call out of ``repeats`` calls."""
    durations = []
    for _ in range(repeats):
        started = time.process_time()
        call()
        durations.append(time.process_time() - started)
    return min(durations)


def measure_idle(planner):
    """
    Return CPU, memory and platform traffic of two control processes with sockets.

    With ``planner``, the first one plans and the second one contends for the lease.
    CPU counts the threads of the control processes, but not those of the platform.
    """
    fleet = ControlFleet(["dc-1", "dc-2"], planner)
    try:
        fleet.commit(make_manifest(TARGET["hosts"], TARGET["pools"]), 0)
        fleet.wait_for_version(1)
        time.sleep(3)
        counters = [{"bytes": 0, "calls": 0} for _ in fleet.platforms]
        for platform, counter in zip(fleet.platforms, counters, strict=True):
            count_calls(platform.table._client, counter)
        started_cpu_s, started_s = control_cpu_s(), time.monotonic()
        time.sleep(IDLE_RUN_S)
        elapsed = time.monotonic() - started_s
        cpu = (control_cpu_s() - started_cpu_s) / elapsed
        mb = resident_bytes() / 1e6
    finally:
        fleet.close()
    return {
        "cpu_of_both": cpu,
        "mb": mb,
        "platform_b_s": [counter["bytes"] / elapsed for counter in counters],
        "platform_calls_s": [counter["calls"] / elapsed for counter in counters],
    }


def control_cpu_s():
    """Return the CPU seconds of all threads but the HTTP servers' and the main one."""
    total = 0
    for thread in threading.enumerate():
        if thread.name.startswith(("http-", "waitress", "MainThread")):
            continue
        path = Path(f"/proc/self/task/{thread.native_id}/schedstat")
        total += int(path.read_text().split()[0])
    return total / 1e9


def count_calls(client, counter):
    """Make a platform client count its calls and their bytes in both directions."""
    pool = client._pool
    request = pool.request

    def counted_request(method, url, **options):
        answer = request(method, url, **options)
        counter["calls"] += 1
        counter["bytes"] += (
            HTTP_OVERHEAD_BYTES + len(options["body"]) + len(answer.data)
        )
        return answer

    pool.request = counted_request


def resident_bytes():
    """Return the resident memory of this process in bytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096


def slope(points):
    """Return (slope, intercept) of the least squares line through (x, y) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in points) / squared_deviations
    return gradient, mean_y - gradient * mean_x


def measure():
    """Return the measured points of each size, and the figures of idle processes."""
    state, _ = make_state(TARGET["hosts"], TARGET["pools"])
    services = TARGET["services"]
    return {
        "peers": [(n, measure_peers(n, services, state)) for n in (3, 7, 15, 31)],
        "services": [(n, measure_peers(15, n, state)) for n in (5, 20, 62)],
        "hosts": [
            (n, measure_state(n, TARGET["pools"])) for n in (125, 250, 500, 1000)
        ],
        "pools": [(n, measure_state(1000, n)) for n in (8, 31, 62)],
        "idle": measure_idle(planner=False),
        "planning": measure_idle(planner=True),
    }


def compute(points):
    """Return the figures at the target size, computed from the measured points."""
    peers = TARGET["entry_hosts"] - 1
    by_peers = dict(points["peers"])
    sent = slope([(n, p["sent_b_s"]) for n, p in points["peers"]])
    received = slope([(n, p["received_b_s"]) for n, p in points["peers"]])
    cpu = slope([(n, p["cpu"]) for n, p in points["peers"]])
    large = dict(points["hosts"])[TARGET["hosts"]]
    changes, moves = TARGET["changes_a_day"] / DAY_S, TARGET["moves_a_day"] / DAY_S
    change_b_s = 2 * (changes * large["commit_bytes"] + moves * large["move_bytes"])
    change_cpu = changes * large["commit_cpu"] + moves * large["move_cpu"]
    idle = points["idle"]
    planning = points["planning"]
    platform_b_s = planning["platform_b_s"][1]
    heartbeat_b_s = (sent[0] + received[0]) * peers + sent[1] + received[1]
    fewest_peers_b_s = (sent[0] + received[0]) * MIN_PEERS + sent[1] + received[1]
    heartbeat_cpu = cpu[0] * peers + cpu[1]
    idle_cpu = idle["cpu_of_both"] / 2
    sent_b_s = sent[0] * peers + sent[1]
    return {
        "kb_s_fewest": (fewest_peers_b_s + change_b_s + platform_b_s) / 1000,
        "kb_s_sent": (sent_b_s + change_b_s / 2 + platform_b_s) / 1000,
        "planner_b_s": planning["platform_b_s"][0],
        "planner_cpu": planning["cpu_of_both"] - idle["cpu_of_both"],
        "sent": sent,
        "received": received,
        "cpu": cpu,
        "state": large,
        "measured_at_15": by_peers[15],
        "heartbeat_b_s": heartbeat_b_s,
        "change_b_s": change_b_s,
        "platform_b_s": platform_b_s,
        "kb_s": (heartbeat_b_s + change_b_s + platform_b_s) / 1000,
        "heartbeat_cpu": heartbeat_cpu,
        "change_cpu": change_cpu,
        "idle_cpu": idle_cpu,
        "core_pct": 100 * (heartbeat_cpu + change_cpu + idle_cpu),
        "mb": max(idle["mb"], planning["mb"]),
    }


def format_verdict(value, limit):
    """Return the text of a figure with its limit and whether it is met."""
    return f"{value:.2f} of {limit:g} ({'met' if value <= limit else 'missed'})"


def render(points, figures):
    """Return the text of the page docs/CAPACITY.md."""
    f, t = figures, TARGET
    per_peer = (f["sent"][0] + f["received"][0]) / 1000
    spare_peers = (LIMITS["kb_s"] - f["kb_s"]) / per_peer
    spare_cpu = (LIMITS["core_pct"] / 100 - f["core_pct"] / 100) / f["cpu"][0]
    hosts = slope([(n, p["memory"]) for n, p in points["hosts"]])
    fold_cpu = slope([(n, p["commit_cpu"]) for n, p in points["hosts"]])
    pools = slope([(n, p["commit_cpu"]) for n, p in points["pools"]])
    services = slope([(n, p["sent_b_s"]) for n, p in points["services"]])
    services_cpu = slope([(n, p["cpu"]) for n, p in points["services"]])
    rows = "\n".join(
        f"| {n} | {p['sent_b_s']:.0f} | {p['received_b_s']:.0f} "
        f"| {p['datagrams_s']:.1f} | {100 * p['cpu']:.2f} |"
        for n, p in points["peers"]
    )
    service_rows = "\n".join(
        f"| {n} | {p['sent_b_s']:.0f} | {100 * p['cpu']:.2f} |"
        for n, p in points["services"]
    )
    host_rows = "\n".join(
        f"| {n} | {p['memory'] / 1e6:.2f} | {p['snapshot'] / 1e3:.0f} "
        f"| {1000 * p['commit_cpu']:.1f} | {1000 * p['move_cpu']:.2f} |"
        for n, p in points["hosts"]
    )
    return f"""# Capacity

Written by `python -m benchmarks.slopes`; all figures come from one run of it. The
target size is {t["hosts"]} hosts, {t["pools"]} pools and services,
{t["data_centres"]} data centres with {t["entry_hosts"]} entry hosts in all,
{t["changes_a_day"]} changes and {t["moves_a_day"]} host moves a day. Bytes include UDP
and IP headers. Traffic between the processes of one entry host stays on loopback
and is not counted, but its CPU is.

## Control process of an entry host

| figure | at the target size |
|---|---|
| control_kb_s | {format_verdict(f["kb_s"], LIMITS["kb_s"])} |
| control_core_pct | {format_verdict(f["core_pct"], LIMITS["core_pct"])} |
| control_mb | {format_verdict(f["mb"], LIMITS["mb"])} |

`control_kb_s` counts every byte sent and received, heartbeats and the platform's
responses included. Without received heartbeats and changes it is
{f["kb_s_sent"]:.2f}; with one entry host in each data centre, the fewest possible
({MIN_PEERS + 1} in all), it is {f["kb_s_fewest"]:.2f}. CPU is the least of {REPEATS}
runs, because other programs ran on the machine.

| part | bytes/s | core % | mechanism |
|---|---|---|---|
| heartbeats with {t["entry_hosts"] - 1} peers, reports, views | \
{f["heartbeat_b_s"]:.0f} | {100 * f["heartbeat_cpu"]:.2f} | one datagram every \
0.5 s within a data centre and every 1 s between them, with the demand of 4 to 9 \
services that changed most or are next in rotation |
| changes, sent and received once each | {f["change_b_s"]:.1f} \
| {100 * f["change_cpu"]:.3f} | entries are merge patches; pulls take only new ones |
| log polls, contending for the lease, idle threads | {f["platform_b_s"]:.0f} \
| {100 * f["idle_cpu"]:.2f} | one row read each second while peers are alive |

State: {f["state"]["memory"] / 1e6:.1f} MB in memory, a snapshot of
{f["state"]["snapshot"] / 1000:.0f} kB, {f["state"]["commit_bytes"]} bytes for a small
commit and {f["state"]["move_bytes"]} bytes for an entry of a move. The memory figure is
the resident size of the benchmark's whole process with two control processes and the
platform in it.

## Planner holder

The control process that plans does all of the above. It also renews the lease, scans
the sender records and reads the log every second, and reads the platform's whole host
list every 2 s:
{f["planner_b_s"] / 1000:.1f} kB/s with the platform while its host list is empty. Each
listed host adds about 40 bytes/s (80 bytes every 2 s, computed), or 40 kB/s at 1,000
hosts. This exceeds 6 kB/s on the one host that plans, because the platform always
returns the whole list and not its changes. Planning and one contender for the lease
take {100 * f["planner_cpu"]:.2f} % of a core without demand;
`benchmarks/fleet.py` measures a loaded planner.

## Entry process

Its control traffic is on loopback: four reports and views a second. Its state is the
same {f["state"]["memory"] / 1e6:.1f} MB. Its CPU for folding a change is the same as
above. The data path is measured by `benchmarks/request.py`.

## Slopes

Peers, with {t["services"]} services that all change at every report: \
{per_peer * 1000:.0f} bytes/s and {100 * f["cpu"][0]:.3f} % of a core for each peer.

| peers | sent bytes/s | received bytes/s | datagrams/s | core % |
|---|---|---|---|---|
{rows}

Services, with 15 peers: {services[0]:.1f} bytes/s sent and \
{100 * services_cpu[0]:.4f} % of a core for each service; the bytes stop \
growing at the limit of services per heartbeat.

| services | sent bytes/s | core % |
|---|---|---|
{service_rows}

Hosts, with {t["pools"]} pools: {hosts[0]:.0f} bytes of memory and \
{1e6 * fold_cpu[0]:.1f} µs of CPU per commit for each host. Pools, with 1,000 hosts: \
{1e6 * pools[0]:.1f} µs of CPU per commit for each pool. Heartbeats name only hosts
that leave or are drained while busy, so their traffic does not grow with the number of
hosts.

| hosts | state MB | snapshot kB | commit ms | move ms |
|---|---|---|---|---|
{host_rows}

## What breaks first

Heartbeats go from every control process to every other, so traffic per node grows
with the number of entry hosts. At the slope above {format_limit(spare_peers, "kB/s")},
and {format_limit(spare_cpu, "CPU")}. The next limit is the validation of the
whole manifest for each commit, {1000 * f["state"]["commit_cpu"]:.0f} ms
at {t["hosts"]} hosts.
"""


def format_limit(spare, what):
    """Return a text that says at how many peers in total a limit is reached."""
    total = TARGET["entry_hosts"] - 1 + spare
    return f"the {what} limit is reached at about {int(total)} peers"


def main():
    """Measure and write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path, required=True)
    output = parser.parse_args().output
    points = measure()
    figures = compute(points)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(render(points, figures), encoding="utf-8")
    keys = ("core_pct", "mb", "kb_s")
    print(json.dumps({f"control_{key}": round(figures[key], 2) for key in keys}))


if __name__ == "__main__":
    main()
