"""Plays a soak: `python -m peridotbend_emulator.soak --seed 1 --minutes 1`."""

import ipaddress
import pathlib
import shutil
import sys
import tempfile

import click

from peridotbend_emulator.soak.faults import (
    KINDS,
    UnknownFaultError,
    parse_faults,
)
from peridotbend_emulator.soak.instances import NotReadyError
from peridotbend_emulator.soak.run import run_soak
from peridotbend_emulator.soak.settings import LOOPBACK_NET, SoakSettings

EXIT_FOUND = 1
EXIT_CANNOT_RUN = 2


def check_net(net: str) -> str:
    """Returns the first three numbers of a loopback address, if they are.

    Raises:
        click.BadParameter: they are something else.
    """
    try:
        is_valid = ipaddress.IPv4Address(f"{net}.1").is_loopback
    except ipaddress.AddressValueError:
        is_valid = False
    if not is_valid:
        raise click.BadParameter(
            f"{net!r} is not three numbers of a loopback address,"
            " like 127.0.12"
        )
    return net


@click.command(
    epilog="Faults: " + "; ".join(f"{k.name}: {k.effect}" for k in KINDS)
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--minutes", type=float, default=1.0, show_default=True)
@click.option(
    "--faults",
    default="",
    help='Faults to play, like "inplace break=0.3"; all if empty.',
)
@click.option(
    "--output",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Folder for soak-SEED/; a temporary one is kept on failure.",
)
@click.option(
    "--other-build",
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
    help='Folder of the packages of another build, for the fault "builds".',
)
@click.option(
    "--net",
    default=LOOPBACK_NET,
    show_default=True,
    callback=lambda context, option, value: check_net(value),
    help="First three numbers of the loopback addresses.",
)
def main(
    seed: int,
    minutes: float,
    faults: str,
    output: pathlib.Path | None,
    other_build: pathlib.Path | None,
    net: str,
) -> None:
    """Plays faults on real daemons and checks what callers and runners see.

    Exit codes: 0 nothing found, 1 a promise was broken, 2 it could not run or
    served no call.
    """
    try:
        plan = parse_faults(faults.split())
    except UnknownFaultError as error:
        raise click.BadParameter(str(error), param_hint="--faults") from error
    if plan.has("builds") and other_build is None:
        raise click.UsageError('the fault "builds" needs --other-build')
    folder = output or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    settings = SoakSettings(
        seed=seed,
        duration_s=minutes * 60,
        faults=plan,
        output=folder,
        other_build=other_build,
        net=net,
    )
    try:
        result = run_soak(settings)
    except (NotReadyError, OSError) as error:
        click.echo(f"seed {seed}: could not run: {error}", err=True)
        click.echo(f"record and logs: {settings.folder}", err=True)
        sys.exit(EXIT_CANNOT_RUN)
    click.echo(f"seed {seed}: {result.describe()}")
    if result.findings:
        click.echo(f"record and logs: {settings.folder}")
        sys.exit(EXIT_FOUND)
    if not result.served:
        click.echo(
            f"seed {seed}: no call was served, so the run shows nothing",
            err=True,
        )
        click.echo(f"record and logs: {settings.folder}", err=True)
        sys.exit(EXIT_CANNOT_RUN)
    if output is None:
        shutil.rmtree(folder)


if __name__ == "__main__":
    main()
