"""`python3 -m station` runs `python3 -m mastturnd` under its former name, for one release."""

from __future__ import annotations

import signal

if __name__ == "__main__":  # unhandled, SIGHUP would end the process during the imports
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import runpy
import sys


def main() -> None:
    """Run mastturnd after a notice about the new name."""
    print("the program station is named mastturnd now; run python3 -m mastturnd", file=sys.stderr)
    runpy.run_module("mastturnd", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
