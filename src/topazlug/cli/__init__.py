"""The command line for operators, a client of the administration API."""

from topazlug.cli import _main as _main

main = _main.main
