"""
Replays recorded traces and checks their outcomes: ``magnoliapier-replay``.

``magnoliapier-replay TRACE --outcomes FILE`` runs one trace through the drivers
that the outcome file names and checks the outcomes; ``--compare POLICY`` also
runs it under a baseline and prints the figures of both. ``--all FOLDER`` replays
every trace of a folder and ends with a line ``N passed, N failed``. Checks listed in
``--known-red FILE`` are expected to fail: they are printed but do not fail the replay.
A listed check that passes does fail it, until it is removed from the list.

Exit codes are those of :mod:`magnoliapier.exceptions`: 0 if all checks pass, 8 for
an invalid file, 9 if a check fails.
"""

import argparse
import contextlib
import signal
import sys
import time
from collections import defaultdict
from pathlib import Path

from magnoliapier.exceptions import (
    MagnoliapierError,
    OutcomeFailedError,
    TraceError,
)
from magnoliapier.fleet_policies import policies as fleet_policies
from magnoliapier.known_red import read_known_red, split_known_failures
from magnoliapier.logs import configure_logs
from magnoliapier.measures import nearest_rank
from magnoliapier.observed_replay import observe_fleet, observe_requests
from magnoliapier.outcomes.language import read_outcomes
from magnoliapier.outcomes.observations import ReplayReport
from magnoliapier.outcomes.request_measures import first_run_waits, matching_requests
from magnoliapier.outcomes.results import dump_json, results_to_values, run_checks
from magnoliapier.registry import Registry
from magnoliapier.request_policies import policies as request_policies
from magnoliapier.store_replay import observe_store
from magnoliapier.traces import read_trace

drivers = Registry("replay driver")

REQUEST_POLICY = "dispatcher"
FLEET_POLICY = "planner"
TRACE_SUFFIXES = (".jsonl.gz", ".jsonl")
# A trace takes about 5 s under one policy. Without a limit, decisions that never return
# would prevent the replay of the traces that follow.
TIME_LIMIT_S = 60.0


@drivers.register("requests")
def run_requests(trace, policy, seed):
    """Run the request decisions; ``policy`` is a request policy or None."""
    factory = request_policies.get(policy or REQUEST_POLICY)
    return observe_requests(trace.header, trace.events, factory, seed)


@drivers.register("fleet")
def run_fleet(trace, policy, seed):
    """Run the planner; ``policy`` is a fleet policy or None."""
    policy = policy or FLEET_POLICY
    fleet_policies.get(policy)
    return observe_fleet(trace.header, trace.events, policy, seed)


@drivers.register("store")
def run_store(trace, policy, seed):
    """Run claims, fleet log and planner lease; ``policy`` must be None."""
    if policy is not None:
        raise TraceError("The store driver has no baselines; leave out --compare.")
    return observe_store(trace.header, trace.events, seed)


def replay_trace(trace, driver_names, seed=None, policy=None):
    """
    Return the :class:`ReplayReport` of a trace under one policy.

    ``policy`` None selects the policy used in production, and ``seed`` None the seed in
    the header of the trace.
    """
    seed = trace.header.seed if seed is None else seed
    reports = [drivers.get(name)(trace, policy, seed) for name in driver_names]
    if len(reports) == 1:
        return reports[0]
    merged = ReplayReport(
        trace.header.name, [item for report in reports for item in report.observations]
    )
    for report in reports:
        merged.figures.update(report.figures)
    return merged


def replay_with_baselines(trace, outcomes, seed=None, compare=()):
    """Return a report that includes the baselines named by checks and ``compare``."""
    report = replay_trace(trace, outcomes.drivers, seed)
    for policy in sorted({*outcomes.policies, *compare}):
        report.baselines[policy] = replay_trace(trace, outcomes.drivers, seed, policy)
    return report


def summarise(report):
    """Return figures of a report by name, for printing and comparing."""
    waits = defaultdict(list)
    for work_class in ("short", "long"):
        requests = matching_requests(report, work_class)
        runs = first_run_waits(report, requests)
        waits[work_class] = [wait for _, wait in runs.values()]
    figures = {
        f"{work_class}_wait_p{percent}_s": round(nearest_rank(values, percent), 4)
        for work_class, values in waits.items()
        if values
        for percent in (50, 99)
    }
    answers = [answer for _, answer in report.of_kind("answer")]
    if answers:
        figures["answers"] = len(answers)
        figures["refusals"] = sum(answer["outcome"] == "refused" for answer in answers)
    for name, value in report.figures.items():
        figures[name] = round(value, 4)
    return figures


def replay_file(path, outcomes_path, seed=None, compare=()):
    """Replay one trace file; return (report, check results)."""
    outcomes = read_outcomes(outcomes_path)
    trace = read_trace(path)
    report = replay_with_baselines(trace, outcomes, seed, compare)
    return report, run_checks(report, outcomes)


def find_traces(folder):
    """Return (trace, outcome file) pairs of a folder, sorted by name."""
    folder = Path(folder)
    if not folder.is_dir():
        raise TraceError(f"{folder} is not a folder; name one that holds traces.")
    pairs = []
    for path in sorted(folder.iterdir()):
        name = trace_name(path)
        if name is not None:
            pairs.append((path, folder / f"{name}.outcomes.json"))
    if not pairs:
        raise TraceError(f"{folder} holds no traces; generate or record some.")
    return pairs


@contextlib.contextmanager
def time_limit(seconds):
    """Raise TraceError in the main thread after ``seconds`` of real time."""

    def expire(signum, frame):
        location = f"{frame.f_code.co_filename.rpartition('/')[2]}:{frame.f_lineno}"
        raise TraceError(
            f"The replay did not end within {seconds:g} s and was in {location}; "
            "correct the decisions there or make the trace shorter."
        )

    previous = signal.signal(signal.SIGALRM, expire)
    signal.setitimer(signal.ITIMER_REAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous)


def replay_folder(folder, seed=None, output=None, limit_s=TIME_LIMIT_S, known_red=None):
    """
    Replay every trace of a folder and return the names of those that fail.

    A trace that cannot be read or replayed fails too, and the others still run.
    ``known_red`` maps trace names to checks that are known to fail; a trace whose only
    failures are of these checks is not among the names.
    """
    pairs = find_traces(folder)
    output = output or sys.stdout
    failed, known_red_traces = [], []
    for path, outcomes_path in pairs:
        started = time.perf_counter()
        known = (known_red or {}).get(trace_name(path), set())
        unexpected, expected, detail = replay_and_check(
            path, outcomes_path, seed, limit_s, known
        )
        seconds = time.perf_counter() - started
        verdict = "FAIL" if unexpected else "red " if expected else "pass"
        print(
            f"{verdict} {path.name}: {detail}, {seconds:.1f} s", file=output, flush=True
        )
        for result in unexpected:
            print(f"  {result}", file=output)
        for result in expected:
            title = str(result).splitlines()[0].removeprefix("FAIL ")
            print(f"  known red {title}", file=output)
        if unexpected:
            failed.append(path.name)
        elif expected:
            known_red_traces.append(path.name)
    if known_red_traces:
        print(f"known red, passed over: {', '.join(known_red_traces)}", file=output)
    passed = len(pairs) - len(failed) - len(known_red_traces)
    print(f"{passed} passed, {len(failed)} failed", file=output)
    return failed


def replay_and_check(path, outcomes_path, seed, limit_s, known):
    """
    Replay one trace and return (unexpected failures, known failures, summary text).

    A check that is known to fail but passes counts as an unexpected failure.
    """
    try:
        with time_limit(limit_s):
            _, results = replay_file(path, outcomes_path, seed)
    except MagnoliapierError as error:
        return [f"FAIL {error}"], [], "not replayed"
    unexpected, expected, passing_again = split_known_failures(results, known)
    unexpected += [
        f"FAIL {name}: it passes; take it off the list of known failures."
        for name in passing_again
    ]
    passed = sum(result.passed for result in results)
    return unexpected, expected, f"{passed} of {len(results)} checks"


def trace_name(path):
    """Return the name of a trace file without its suffix."""
    for suffix in TRACE_SUFFIXES:
        if path.name.endswith(suffix):
            return path.name.removesuffix(suffix)
    return None


def build_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="magnoliapier-replay", description=__doc__)
    parser.add_argument("trace", nargs="?", type=Path, metavar="TRACE")
    parser.add_argument("--outcomes", type=Path, metavar="FILE")
    parser.add_argument("--all", type=Path, metavar="FOLDER")
    parser.add_argument("--known-red", type=Path, metavar="FILE")
    parser.add_argument("--compare", action="append", default=[], metavar="POLICY")
    parser.add_argument("--report", type=Path, metavar="FILE.json")
    parser.add_argument("--plot", type=Path, metavar="FILE.svg|png")
    parser.add_argument("--seed", type=int, help="instead of the seed of the trace")
    return parser


def run(options):
    """Run the parsed command line; raise OutcomeFailedError if a check fails."""
    if options.all is not None:
        known_red = read_known_red(options.known_red) if options.known_red else {}
        failed = replay_folder(options.all, options.seed, known_red=known_red)
        if failed:
            raise OutcomeFailedError(
                f"{', '.join(failed)} failed; replay one by itself for its events."
            )
        return
    if options.trace is None or options.outcomes is None:
        raise TraceError("Give a trace and --outcomes FILE, or --all FOLDER.")
    report, results = replay_file(
        options.trace, options.outcomes, options.seed, options.compare
    )
    print_results(report, results)
    if options.report:
        dump_json(options.report, report_to_values(report, results))
    if options.plot:
        from magnoliapier.plots import plot_report

        plot_report(report, options.plot)
    failures = sum(not result.passed for result in results)
    if failures:
        raise OutcomeFailedError(
            f"{failures} of {len(results)} checks failed; the first events are above."
        )


def print_results(report, results):
    """Print the checks, and the figures of all policies side by side."""
    for result in results:
        print(result)
    for policy, policy_report in [
        ("in service", report),
        *sorted(report.baselines.items()),
    ]:
        shown = " ".join(f"{k}={v}" for k, v in summarise(policy_report).items())
        print(f"{policy}: {shown}")


def report_to_values(report, results):
    """Return a report as plain JSON: checks and figures of each policy."""
    return {
        "trace": report.name,
        "passed": all(result.passed for result in results),
        "checks": results_to_values(results),
        "figures": summarise(report),
        "baselines": {
            policy: summarise(baseline) for policy, baseline in report.baselines.items()
        },
    }


def main(arguments=None):
    """Run the program and return its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        with configure_logs("ERROR").applicationbound():
            run(options)
    except MagnoliapierError as error:
        print(error, file=sys.stderr)
        return error.exit_code
    return 0


if __name__ == "__main__":
    sys.exit(main())
