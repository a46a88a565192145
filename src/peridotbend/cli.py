"""Command line for operators."""

import itertools
import json
import sys
from typing import BinaryIO, NoReturn, TextIO

import click
from result import Err, Result

from peridotbend import __version__
from peridotbend.adapters import explanations, operatorclient, tables
from peridotbend.adapters.yamltext import parse_text
from peridotbend.platform.configcheck import (
    Severity,
    check_config,
    compare_configs,
    is_platform_config,
    render_json,
)
from peridotbend.platform.documents import decode_config

EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_WARNINGS = 4
DEFAULT_OPERATOR_URL = "http://127.0.0.1:8081"

EXIT_HELP = """
\b
Exit codes:
  0  done; the text is good
  1  the text has problems, the daemon refused the call, or no line of the
     logs names the request
  2  wrong usage, or a file that cannot be read
  3  the daemon cannot be reached
  4  a configuration of the platform has warnings, but no errors
"""


def _check_url(
    _context: click.Context, _parameter: click.Parameter, url: str
) -> str:
    problem = operatorclient.check_url(url)
    if problem is not None:
        raise click.BadParameter(problem)
    return url


operator_url_option = click.option(
    "--operator-url",
    default=DEFAULT_OPERATOR_URL,
    show_default=True,
    envvar="PERIDOTBEND_OPERATOR_URL",
    callback=_check_url,
    help="Operator address of a daemon.",
)


@click.group(epilog=EXIT_HELP)
@click.version_option(__version__, prog_name="peridotbend")
def main() -> None:
    """Checks texts and asks running daemons about their state."""


@main.command(epilog=EXIT_HELP)
@click.argument("text", type=click.File("rb"))
@click.option(
    "--against",
    type=click.File("rb"),
    help="Compare with this configuration of the platform, which is in force.",
)
@click.option("--json", "as_json", is_flag=True, help="Print findings as JSON.")
def check(text: BinaryIO, against: BinaryIO | None, as_json: bool) -> None:
    """Checks the file TEXT as a daemon would (- reads standard input).

    TEXT may be a configuration of the users' platform as well.
    """
    name, source = _read_file(text)
    if is_platform_config(source.encode()):
        in_force = _read_file(against)[1] if against is not None else None
        sys.exit(_check_platform_config(name, source, in_force, as_json))
    if against is not None or as_json:
        raise click.UsageError(
            "--against and --json need a configuration of the platform, with"
            " a list of routes"
        )
    parsed = parse_text(source)
    if isinstance(parsed, Err):
        for problem in parsed.err_value:
            click.echo(f"{name}: {problem}", err=True)
        sys.exit(EXIT_FAILURE)
    fleet_text = parsed.ok_value
    targets = sum(len(service.targets) for service in fleet_text.services)
    click.echo(
        f"{name}: version {fleet_text.version}, {len(fleet_text.services)} "
        f"services, {targets} targets, {len(fleet_text.clients)} client "
        "accounts"
    )


def _read_file(file: BinaryIO) -> tuple[str, str]:
    """Returns the name and the content of a file, or exits."""
    name = getattr(file, "name", "-")
    try:
        return name, file.read().decode()
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"{name}: cannot be read: {error}", err=True)
        sys.exit(EXIT_USAGE)


def _check_platform_config(
    name: str, source: str, in_force: str | None, as_json: bool
) -> int:
    """Prints what is wrong with a configuration; returns the exit code."""
    old = None
    if in_force is not None:
        decoded = decode_config(in_force.encode())
        if isinstance(decoded, Err):
            click.echo(f"--against: {decoded.err_value}", err=True)
            return EXIT_USAGE
        old = decoded.ok_value
    findings = check_config(source.encode(), old)
    new = decode_config(source.encode())
    differences = []
    if old is not None and not isinstance(new, Err):
        differences = compare_configs(old, new.ok_value)
    if as_json:
        click.echo(render_json(findings, differences))
    else:
        for finding in findings:
            click.echo(f"{name}: {finding}", err=True)
        for line in differences:
            click.echo(f"{name}: {line}")
        if not findings:
            click.echo(f"{name}: no problems")
    if any(found.severity is Severity.ERROR for found in findings):
        return EXIT_FAILURE
    return EXIT_WARNINGS if findings else 0


@main.command(epilog=EXIT_HELP)
@operator_url_option
def dump(operator_url: str) -> None:
    """Prints the whole state of a daemon as JSON."""
    state = _unwrap_or_exit(
        operator_url,
        operatorclient.call_operator(operator_url, "GET", "/v1/dump"),
    )
    click.echo(json.dumps(state, indent=2, sort_keys=True))


@main.command(epilog=EXIT_HELP)
@operator_url_option
def status(operator_url: str) -> None:
    """Prints a summary of a daemon's state for a person."""
    state = _unwrap_or_exit(
        operator_url,
        operatorclient.call_operator(operator_url, "GET", "/v1/status"),
    )
    click.echo(tables.render_object(state))


# IDs may begin with a hyphen.
@main.command(
    epilog=EXIT_HELP, context_settings={"ignore_unknown_options": True}
)
@click.argument("request_id", metavar="ID")
@click.option(
    "--log",
    "logs",
    type=click.File("r", encoding="utf-8", errors="replace"),
    multiple=True,
    help="Read this log of an entry instance (- for standard input) in place "
    "of asking a daemon; may be given for several instances.",
)
@operator_url_option
def explain(
    request_id: str, logs: tuple[TextIO, ...], operator_url: str
) -> None:
    """Prints why the request ID ended as it did.

    With --log, ID is the caller's attempt ID; the process may be gone.
    """
    if logs:
        lines = explanations.read_lines(itertools.chain(*logs))
        explanation = explanations.explain_attempt(lines, request_id)
        click.echo("\n".join(explanation.report))
        sys.exit(0 if explanation.is_found else EXIT_FAILURE)
    found = _unwrap_or_exit(
        operator_url,
        operatorclient.call_operator(
            operator_url, "GET", "/v1/explain", id=request_id
        ),
    )
    click.echo(tables.render_object(found))


@main.group(epilog=EXIT_HELP)
def quarantine() -> None:
    """Shows requests that crash the targets that run them."""


@quarantine.command("list", epilog=EXIT_HELP)
@operator_url_option
def list_quarantine(operator_url: str) -> None:
    """Prints the suspected and quarantined fingerprints."""
    found = _unwrap_or_exit(
        operator_url,
        operatorclient.call_operator(operator_url, "GET", "/v1/quarantine"),
    )
    if found.get("quarantine"):
        click.echo(tables.render_object(found))
    else:
        click.echo("nothing is suspected or quarantined")


@main.command(epilog=EXIT_HELP)
@operator_url_option
def drain(operator_url: str) -> None:
    """Starts a graceful shutdown, as SIGTERM does."""
    _unwrap_or_exit(
        operator_url,
        operatorclient.call_operator(operator_url, "POST", "/v1/drain"),
    )
    click.echo("draining; the process exits when its requests are done")


def _unwrap_or_exit(
    url: str,
    answer: Result[
        dict[str, object], operatorclient.Unreachable | operatorclient.Refused
    ],
) -> dict[str, object]:
    """Returns the answer, or prints an error and exits."""
    if isinstance(answer, Err):
        _exit_with_error(url, answer.err_value)
    return answer.ok_value


def _exit_with_error(
    url: str, failure: operatorclient.Unreachable | operatorclient.Refused
) -> NoReturn:
    if isinstance(failure, operatorclient.Refused):
        click.echo(
            f"{url} answered {failure.status}: {failure.message}", err=True
        )
        sys.exit(EXIT_FAILURE)
    click.echo(
        f"{url} cannot be reached: {failure.detail}; check that the daemon "
        "runs and pass its operator address with --operator-url",
        err=True,
    )
    sys.exit(EXIT_UNREACHABLE)


if __name__ == "__main__":
    main()
