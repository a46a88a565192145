"""How the daemons end when they cannot start."""

import sys
from typing import NoReturn

import click

EXIT_BAD_SETTINGS = 1
EXIT_CANNOT_LISTEN = 3


def exit_with(failed: BaseExceptionGroup[Exception], code: int) -> NoReturn:
    """Prints the first error of nested groups and ends the process."""
    error: BaseException = failed
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    click.echo(str(error), err=True)
    sys.exit(code)
