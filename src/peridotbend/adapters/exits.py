"""Exit of a daemon that can't start."""

import sys
from typing import NoReturn

import click

EXIT_BAD_SETTINGS = 1
EXIT_CANNOT_LISTEN = 3


def exit_with(errors: BaseExceptionGroup[Exception], code: int) -> NoReturn:
    """Prints the first error of nested groups and exits with the code."""
    error: BaseException = errors
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    click.echo(str(error), err=True)
    sys.exit(code)
