"""The operators' commands of the platform path."""

from pathlib import Path

import msgspec
import typer

from magnoliapier.exceptions import MessageError
from magnoliapier.platform import wire
from magnoliapier.submissions.configuration_checks import (
    DeclaredLimits,
    Finding,
    Proposal,
    Severity,
    check_configuration,
)
from magnoliapier.submissions.configuration_diff import find_differences

EXIT_ERRORS = 1

app = typer.Typer(no_args_is_help=True, pretty_exceptions_enable=False)


class LimitsPart(msgspec.Struct):
    """The limits of a configuration, as they are declared."""

    limits: DeclaredLimits = DeclaredLimits()


@app.callback()
def describe():
    """Commands for operators. Without arguments the program starts a node."""


@app.command("check")
def check(
    file: Path = typer.Argument(..., help="The configuration to be sent, as JSON."),
    in_force: Path | None = typer.Option(
        None, "--in-force", help="The configuration in force, to be compared with."
    ),
    json_output: bool = typer.Option(False, "--json", help="Print JSON for programs."),
):
    """Check a configuration before it is sent; the status is 1 if it has errors."""
    findings = check_files(file, in_force)
    if json_output:
        typer.echo(msgspec.json.format(msgspec.json.encode(findings)).decode())
    else:
        for finding in findings:
            typer.echo(str(finding))
    if any(finding.severity == Severity.ERROR for finding in findings):
        raise typer.Exit(EXIT_ERRORS)


def check_files(file, in_force_file=None):
    """Return the findings on a file's configuration; a Finding tells if unreadable."""
    try:
        configuration, limits = load_configuration(file)
        proposal = Proposal(configuration, limits=limits)
        if in_force_file is not None:
            in_force, limits_in_force = load_configuration(in_force_file)
            proposal = Proposal(configuration, in_force, limits, limits_in_force)
    except MessageError as error:
        return [
            Finding(
                severity=Severity.ERROR, subject="configuration", message=str(error)
            )
        ]
    return [*check_configuration(proposal), *find_differences(proposal)]


def load_configuration(path):
    """Return the configuration and the limits on requests in a file."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise MessageError(f"Make {path} readable: {error}") from error
    try:
        configuration = wire.decode(wire.ConfigBody, data).configuration()
        return configuration, wire.decode(LimitsPart, data).limits
    except MessageError as error:
        raise MessageError(f"Correct {path}: {error}") from error
