"""The operators' command line, ``magnoliapier``."""

import getpass
import json
import os
import sys
import time
from pathlib import Path

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from magnoliapier.exceptions import MagnoliapierError
from magnoliapier.log_search import search_logs
from magnoliapier.manifest import parse_manifest, read_json
from magnoliapier.manifest_checks import check_manifest
from magnoliapier.manifest_diff import diff_manifests
from magnoliapier.operator_client import OperatorClient

EXIT_CODES_HELP = """
Exit codes: 0 done, 1 other error, 2 wrong usage, 3 bad settings, 4 address taken,
5 invalid manifest, 6 another commit came first, 7 not authenticated, 8 invalid
trace, 9 an outcome failed, 10 platform unavailable, 11 commit not in force in time.
"""
EXIT_ROLLOUT_TIMEOUT = 11
POLL_S = 0.5
MAX_CELL_CHARS = 48

app = typer.Typer(
    no_args_is_help=True, epilog=EXIT_CODES_HELP, pretty_exceptions_enable=False
)
manifest_app = typer.Typer(no_args_is_help=True, help="Check and commit manifests.")
app.add_typer(manifest_app, name="manifest")

SERVER = typer.Option(
    "127.0.0.1:8091",
    envvar="MAGNOLIAPIER_SERVER",
    help="IP:port of a control process's operator_address.",
)
JSON_OUTPUT = typer.Option(False, "--json", help="Print JSON for programs.")
MANIFEST_FILE = typer.Argument(..., help="The manifest, a JSON file.")


def connect(server):
    """Return a client that signs its calls with the key in MAGNOLIAPIER_KEY."""
    return OperatorClient(
        server, os.environ.get("MAGNOLIAPIER_KEY", ""), getpass.getuser()
    )


def print_json(values):
    """Print ``values`` as indented JSON with sorted keys."""
    typer.echo(json.dumps(values, indent=2, sort_keys=True))


def print_table(columns, rows):
    """Print rows (dicts) under the given columns."""
    table = Table(*columns, box=None, header_style="bold")
    for row in rows:
        table.add_row(*(format_cell(row.get(column)) for column in columns))
    Console(soft_wrap=True).print(table)


def format_cell(value):
    """Return a value as text for a table cell; cut text to MAX_CELL_CHARS."""
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, dict | list):
        value = json.dumps(value, sort_keys=True)
    text = str(value)
    return text if len(text) <= MAX_CELL_CHARS else text[: MAX_CELL_CHARS - 3] + "..."


def print_rows(values, columns, rows, as_json):
    """Print ``values`` as JSON or ``rows`` as a table."""
    if as_json:
        print_json(values)
    else:
        print_table(columns, rows)


def load_valid_manifest(path):
    """Return the plain JSON of a manifest file that passes all checks."""
    data = path.read_bytes()
    check_manifest(parse_manifest(data))
    return read_json(data)


@manifest_app.command("check")
def check(file: Path = MANIFEST_FILE, as_json: bool = JSON_OUTPUT):
    """Check a manifest without a server; list every problem."""
    values = load_valid_manifest(file)
    sizes = {key: len(value) for key, value in values.items()}
    if as_json:
        print_json({"valid": True, "sizes": sizes})
    else:
        typer.echo(f"{file} is valid: {sizes['hosts']} hosts, {sizes['pools']} pools.")


@manifest_app.command("diff")
def diff(file: Path = MANIFEST_FILE, server: str = SERVER, as_json: bool = JSON_OUTPUT):
    """Show what a commit of FILE would change."""
    current = connect(server).manifest()
    changes = list(diff_manifests(current["manifest"], load_valid_manifest(file)))
    if as_json:
        print_json([vars(change) for change in changes])
        return
    typer.echo(f"Against version {current['version']}:")
    for change in changes:
        typer.echo(f"  {change}")
    if not changes:
        typer.echo("  no changes")


@manifest_app.command("commit")
def commit(
    file: Path = MANIFEST_FILE,
    base: int = typer.Option(
        ..., help="Version this manifest builds on, 0 for the first."
    ),
    server: str = SERVER,
    wait_s: float = typer.Option(30.0, help="Seconds to wait until it is in force."),
    as_json: bool = JSON_OUTPUT,
):
    """Commit FILE and show its roll-out to the entry hosts."""
    client = connect(server)
    answer = client.commit(load_valid_manifest(file), base)
    if not as_json:
        typer.echo(f"Version {answer['version']} is accepted (seq {answer['seq']}).")
    in_force = wait_for_seq(client, answer["seq"], wait_s, quiet=as_json)
    if as_json:
        print_json({**answer, "in_force_everywhere": in_force})
    if not in_force:
        raise typer.Exit(EXIT_ROLLOUT_TIMEOUT)


def wait_for_seq(client, seq, wait_s, quiet):
    """Wait until all live entry hosts apply ``seq``; return whether they do in time."""
    deadline = time.monotonic() + wait_s
    last_applied = None
    while True:
        rows = [r for r in client.status()["entry_hosts"] if r["status"] == "alive"]
        applied = sum(row["seq"] >= seq for row in rows)
        if not quiet and applied != last_applied:
            typer.echo(f"In force on {applied} of {len(rows)} entry hosts.")
            last_applied = applied
        if rows and applied == len(rows):
            return True
        if time.monotonic() >= deadline:
            return False
        time.sleep(POLL_S)


@manifest_app.command("show")
def show_manifest(server: str = SERVER):
    """Print the manifest in force as JSON."""
    print_json(connect(server).manifest())


@manifest_app.command("history")
def history(
    server: str = SERVER,
    limit: int = typer.Option(20, min=1, max=1000),
    as_json: bool = JSON_OUTPUT,
):
    """List the newest commits."""
    rows = connect(server).history()[-limit:]
    print_rows(rows, ("version", "seq", "author", "time", "changed"), rows, as_json)


@app.command()
def status(server: str = SERVER, as_json: bool = JSON_OUTPUT):
    """Show the entry hosts, the versions they apply, and the active planner."""
    values = connect(server).status()
    if not as_json:
        store = "available" if values["store_available"] else "away"
        planner = values["planner"] or "none"
        typer.echo(f"platform's table {store}, planner {planner}")
    columns = ("name", "data_centre", "status", "seq", "version", "eligible")
    print_rows(values, columns, values["entry_hosts"], as_json)


@app.command()
def hosts(
    server: str = SERVER,
    pool: str = typer.Option(None, help="Only hosts of this pool."),
    as_json: bool = JSON_OUTPUT,
):
    """List the hosts with their pool, state and reason."""
    rows = [
        row for row in connect(server).hosts() if pool is None or row["pool"] == pool
    ]
    columns = ("name", "pool", "state", "target", "epoch", "leaving", "reason")
    print_rows(rows, columns, rows, as_json)


@app.command()
def drain(
    host: str,
    reason: str = typer.Option("operator", help="Shown by explain."),
    server: str = SERVER,
    as_json: bool = JSON_OUTPUT,
):
    """Stop sending new work to HOST; running work completes."""
    print_result(
        connect(server).drain(host, reason), f"Host {host} is draining.", as_json
    )


@app.command()
def undrain(host: str, server: str = SERVER, as_json: bool = JSON_OUTPUT):
    """Return a draining HOST to its pool."""
    print_result(
        connect(server).undrain(host), f"Host {host} accepts work again.", as_json
    )


@app.command()
def cancel(
    name: str,
    kind: str = typer.Option("job", help="job or maintenance."),
    server: str = SERVER,
    as_json: bool = JSON_OUTPUT,
):
    """Cancel a job or a maintenance; running maintenance ends gracefully."""
    print_result(
        connect(server).cancel(kind, name), f"{kind} {name} cancelled.", as_json
    )


@app.command()
def forget(name: str, server: str = SERVER, as_json: bool = JSON_OUTPUT):
    """
    Remove the record of entry host NAME, which must be permanently gone.

    Hosts of its data centre can change pools again afterwards. A process that
    still runs under the name could send to a host after it changed pools.
    """
    print_result(
        connect(server).forget(name), f"Entry host {name} is removed.", as_json
    )


LOG_FILES = typer.Option(..., "--file", help="The log of a host; may be repeated.")


@app.command("logs")
def show_logs(
    name: str = typer.Argument(..., help="The id of a submission, endpoint or host."),
    logs: list[Path] = LOG_FILES,
    json_output: bool = JSON_OUTPUT,
):
    """Show the log lines about one submission, endpoint or host."""
    entries = search_logs(name, ((path.name, read_lines(path)) for path in logs))
    if json_output:
        print_json([msgspec.to_builtins(entry) for entry in entries])
        return
    for entry in entries:
        fields = " ".join(f"{key}={value}" for key, value in entry.fields.items())
        mark = "*" if entry.is_final else " "
        typer.echo(f"{mark} {entry.time} {entry.source} {entry.event} {fields}")
    if not entries:
        typer.echo(f"No line mentions {name}; give the logs of more hosts.", err=True)


def read_lines(path):
    """Yield the lines of a log without loading the whole file into memory."""
    with path.open(encoding="utf-8", errors="replace") as lines:
        yield from lines


@app.command()
def explain(
    kind: str = typer.Argument(..., help="host, wave, job, refusal or planner."),
    name: str = typer.Argument("", help="Name of the subject; omit for the planner."),
    server: str = SERVER,
    as_json: bool = JSON_OUTPUT,
):
    """Explain why a host moves, maintenance waits or requests are refused."""
    values = connect(server).explain(f"{kind}/{name}")
    if as_json:
        print_json(values)
        return
    notes = values.pop("notes")
    for key, value in values.items():
        typer.echo(f"{key}: {json.dumps(value, sort_keys=True)}")
    for note in notes:
        typer.echo(f"note: {json.dumps(note, sort_keys=True)}")


@app.command()
def watch(
    server: str = SERVER,
    after: int = typer.Option(None, help="Start after this seq; default: the newest."),
    limit: int = typer.Option(0, help="Stop after this many entries; 0: no limit."),
    as_json: bool = JSON_OUTPUT,
):
    """Print the entries of the fleet log as they come into force."""
    client = connect(server)
    seq = client.manifest()["seq"] if after is None else after
    printed = 0
    while True:
        answer = client.watch(seq)
        if answer["entries"] is None:
            raise MagnoliapierError(
                f"The entries after {seq} are no longer available; "
                f"start again with --after {answer['seq']}."
            )
        for entry in answer["entries"]:
            seq = entry["seq"]
            typer.echo(
                json.dumps(entry, sort_keys=True) if as_json else describe_entry(entry)
            )
            printed += 1
            if printed == limit:
                return
        time.sleep(POLL_S)


def describe_entry(entry):
    """Return one line of text for a log entry."""
    body = {key: value for key, value in entry["body"].items() if key != "patch"}
    pairs = " ".join(f"{key}={format_cell(value)}" for key, value in body.items())
    return f"{entry['seq']} {entry['kind']} by {entry['author']} {pairs}"


def print_result(values, text, as_json):
    """Print the result of an action, as JSON or as ``text``."""
    if as_json:
        print_json(values)
    else:
        typer.echo(text)


@app.command()
def demo(
    seconds: float = typer.Option(
        8.0, min=2.0, max=120.0, help="Duration of the load in seconds."
    ),
    as_json: bool = JSON_OUTPUT,
):
    """Run a small system in this process and report the outcomes of its requests."""
    from magnoliapier.demo import run_demo

    report = run_demo(seconds, quiet=as_json)
    if as_json:
        print_json(report.to_values())
    if not report.passed:
        raise typer.Exit(1)


def main():
    """Run the command line; print an error's message and exit with its code."""
    try:
        app()
    except MagnoliapierError as error:
        typer.echo(f"magnoliapier: {error}", err=True)
        sys.exit(error.exit_code)
    except OSError as error:
        typer.echo(f"magnoliapier: {error}", err=True)
        sys.exit(1)


if __name__ == "__main__":
    main()
