"""
Plots a replay report to a file; no display is needed.

The file extension, ``.svg`` or ``.png``, selects the format. Panels are drawn only for
what the replay observed: waits by class, hosts by pool and progress of waves.
"""

from collections import defaultdict
from pathlib import Path

from magnoliapier.exceptions import TraceError
from magnoliapier.outcomes.request_measures import first_run_waits, matching_requests
from magnoliapier.registry import Registry

panels = Registry("plot panel")

SUPPORTED_SUFFIXES = (".svg", ".png")
PANEL_INCHES = (8.0, 3.2)


@panels.register("waits")
def waits_by_class(report):
    """
    Return the panel with the cumulative share of requests by wait.

    A panel is (title, x label, y label, curves by label).
    """
    curves = {}
    for work_class in ("short", "long"):
        requests = matching_requests(report, work_class)
        waits = sorted(wait for _, wait in first_run_waits(report, requests).values())
        if waits:
            shares = [(index + 1) / len(waits) for index in range(len(waits))]
            curves[work_class] = (waits, shares)
    return "Waits by class", "wait [s]", "share of requests", curves


@panels.register("hosts")
def hosts_by_pool(report):
    """Return the panel with the number of hosts that each pool holds over time."""
    pools = {}
    counts = defaultdict(int)
    points = defaultdict(lambda: ([], []))
    for _, observation in report.of_kind("assign"):
        previous = pools.get(observation["host"])
        pools[observation["host"]] = observation["pool"]
        for pool, change in ((previous, -1), (observation["pool"], 1)):
            if pool is not None and previous != observation["pool"]:
                counts[pool] += change
                points[pool][0].append(observation.t)
                points[pool][1].append(counts[pool])
    end = report.observations[-1].t if report.observations else 0.0
    for pool, (times, numbers) in points.items():
        times.append(end)
        numbers.append(counts[pool])
    return "Hosts by pool", "time [s]", "hosts", dict(points)


@panels.register("waves")
def wave_progress(report):
    """Return the panel with the finished hosts of each maintenance over time."""
    curves = defaultdict(lambda: ([], []))
    for _, observation in report.of_kind("wave"):
        curves[observation["name"]][0].append(observation.t)
        curves[observation["name"]][1].append(observation["done"])
    return "Wave progress", "time [s]", "hosts done", dict(curves)


def plot_report(report, path):
    """
    Plot a report to ``path``.

    Raises TraceError if the format is not supported, nothing was observed or
    matplotlib is not installed.
    """
    path = Path(path)
    if path.suffix not in SUPPORTED_SUFFIXES:
        raise TraceError(f"Cannot plot to {path.name}; name it .svg or .png.")
    try:
        from matplotlib.figure import Figure
    except ImportError:
        raise TraceError(
            "Plots need matplotlib; install magnoliapier with the extra 'plots'."
        ) from None
    panel_data = [panels.get(name)(report) for name in panels.names()]
    panel_data = [panel for panel in panel_data if panel[3]]
    if not panel_data:
        raise TraceError(f"Trace {report.name} observed nothing to plot.")
    width, height = PANEL_INCHES
    figure = Figure(figsize=(width, height * len(panel_data)), layout="constrained")
    for number, (title, x_label, y_label, curves) in enumerate(panel_data, 1):
        axes = figure.add_subplot(len(panel_data), 1, number)
        for label, (x, y) in sorted(curves.items()):
            axes.step(x, y, where="post", label=label)
        axes.set(title=title, xlabel=x_label, ylabel=y_label)
        axes.legend(fontsize="small")
    figure.suptitle(report.name)
    figure.savefig(path, metadata={"Date": None} if path.suffix == ".svg" else None)
