"""
Replays one load with one policy, to compare alternatives.

Run as ``python -m benchmarks.request_trial LOAD POLICY SEED [MODULE.NAME=VALUE ...]``,
where the last arguments replace constants of the package's modules, as in
``scheduling.RESERVE_DEVIATIONS=1.5``. It prints the p99 wait of short work (a
request without a response counts as its deadline), the share of slots in use while
requests wait, the goodput as a share of the slots, and the sends per request.
"""

import argparse
import importlib
import json
from collections import Counter

from benchmarks.request import others_p99, replay_load, served_shares, short_p99
from benchmarks.request_load import (
    CAPACITY_SLOTS,
    flood_load,
    long_only_load,
    month_end_load,
    overload_load,
    saturation_load,
)
from magnoliapier.registry import Registry

loads = Registry("load")
loads.register("month_end")(month_end_load)
loads.register("month_end_coinciding")(lambda: month_end_load(coinciding=True))
loads.register("month_end_5s")(lambda: month_end_load(deadline_s=5.0))
loads.register("month_end_faults")(lambda: month_end_load(faults=True))
loads.register("saturation")(saturation_load)
loads.register("long_only")(long_only_load)
loads.register("overload_1")(lambda: overload_load(1))
loads.register("overload_10")(lambda: overload_load(10))
for flood in ("short", "mislabelled", "long"):
    loads.register(f"flood_{flood}")(lambda kind=flood: flood_load(kind))


def replace_constant(assignment):
    """
    Set a constant of a module of the package, given as ``module.NAME=value``.

    Raise SystemExit if the module has no such name.
    """
    path, value = assignment.split("=")
    module_name, name = path.rsplit(".", 1)
    module = importlib.import_module(f"magnoliapier.{module_name}")
    if not hasattr(module, name):
        raise SystemExit(f"{module_name} has no {name}; check the spelling.")
    setattr(module, name, float(value))


def main(arguments=None):
    """Run one trial and print its figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("load", choices=loads.names())
    parser.add_argument("policy")
    parser.add_argument("seed", type=int)
    parser.add_argument("constants", nargs="*")
    parser.add_argument("--entries", type=int)
    options = parser.parse_args(arguments)
    for assignment in options.constants:
        replace_constant(assignment)
    load = loads.get(options.load)()
    load.entries = options.entries or load.entries
    report = replay_load(options.policy, load, options.seed)
    seconds = load.duration_s - load.warm_up_s
    records = [r for r in report.records if r.arrived >= load.warm_up_s]
    sent = [r for r in records if r.sends]
    slot_use = report.slot_use(start=load.warm_up_s, end=load.duration_s)
    result = {
        "short_p99_s": round(short_p99(report, load), 3),
        "slot_use": round(slot_use or 0.0, 3),
        "goodput": round(
            report.goodput_s(start=load.warm_up_s) / seconds / CAPACITY_SLOTS, 3
        ),
        "sends": round(sum(r.sends for r in sent) / len(sent), 3),
        "ends": dict(Counter(r.end for r in records)),
    }
    if load.flooder:
        shares = served_shares(report, load)
        result["served"] = {name: round(value, 3) for name, value in shares.items()}
        result["others_short_p99_s"] = round(others_p99(report, load), 3)
    print(json.dumps(result))


if __name__ == "__main__":
    main()
