"""
Plots of a replay report, written to a file without a display.

The file's ending, ``.svg`` or ``.png``, gives the format. Only what the replay
observed is drawn: waits by class, hosts by pool, progress of waves.
"""

from collections import defaultdict
from pathlib import Path

from magnoliapier.exceptions import TraceError
from magnoliapier.outcomes.request_measures import first_run_waits, matching_requests
from magnoliapier.registry import Registry

panels = Registry("plot panel")

FORMATS = (".svg", ".png")
PANEL_INCHES = (8.0, 3.2)


@panels.register("waits")
def waits_by_class(report):
    """Return (title, x label, y label, curves) of the share of requests by wait."""
    curves = {}
    for work_class in ("short", "long"):
        requests = matching_requests(report, work_class)
        waits = sorted(wait for _, wait in first_run_waits(report, requests).values())
        if waits:
            shares = [(place + 1) / len(waits) for place in range(len(waits))]
            curves[work_class] = (waits, shares)
    return "Waits by class", "wait [s]", "share of requests", curves


@panels.register("hosts")
def hosts_by_pool(report):
    """Return the number of hosts that each pool holds over time."""
    pools = {}
    counts = defaultdict(int)
    points = defaultdict(lambda: ([], []))
    for _, seen in report.of_kind("assign"):
        before = pools.get(seen["host"])
        pools[seen["host"]] = seen["pool"]
        for pool, change in ((before, -1), (seen["pool"], 1)):
            if pool is not None and before != seen["pool"]:
                counts[pool] += change
                points[pool][0].append(seen.t)
                points[pool][1].append(counts[pool])
    end = report.observations[-1].t if report.observations else 0.0
    for pool, (times, numbers) in points.items():
        times.append(end)
        numbers.append(counts[pool])
    return "Hosts by pool", "time [s]", "hosts", dict(points)


@panels.register("waves")
def wave_progress(report):
    """Return the number of finished hosts of each maintenance over time."""
    curves = defaultdict(lambda: ([], []))
    for _, seen in report.of_kind("wave"):
        curves[seen["name"]][0].append(seen.t)
        curves[seen["name"]][1].append(seen["done"])
    return "Wave progress", "time [s]", "hosts done", dict(curves)


def plot_report(report, path):
    """
    Draw a report to ``path``.

    Raise TraceError for another format, if nothing was observed, or if matplotlib
    is not installed.
    """
    path = Path(path)
    if path.suffix not in FORMATS:
        raise TraceError(f"Cannot plot to {path.name}; name it .svg or .png.")
    try:
        from matplotlib.figure import Figure
    except ImportError:
        raise TraceError(
            "Plots need matplotlib; install magnoliapier with the extra 'plots'."
        ) from None
    drawn = [panels.get(name)(report) for name in panels.names()]
    drawn = [panel for panel in drawn if panel[3]]
    if not drawn:
        raise TraceError(f"Trace {report.name} observed nothing to plot.")
    width, height = PANEL_INCHES
    figure = Figure(figsize=(width, height * len(drawn)), layout="constrained")
    for number, (title, x_label, y_label, curves) in enumerate(drawn, 1):
        axes = figure.add_subplot(len(drawn), 1, number)
        for label, (x, y) in sorted(curves.items()):
            axes.step(x, y, where="post", label=label)
        axes.set(title=title, xlabel=x_label, ylabel=y_label)
        axes.legend(fontsize="small")
    figure.suptitle(report.name)
    figure.savefig(path, metadata={"Date": None} if path.suffix == ".svg" else None)
