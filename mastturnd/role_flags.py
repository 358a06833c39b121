"""Command-line flags of a role; imported only if there are any, to keep the start fast."""

from __future__ import annotations

from absl import flags

from mastturnd.wrong import UsageError

FLAGS = flags.FLAGS
flags.DEFINE_enum(
    "log_level", "INFO", ["DEBUG", "INFO", "WARNING", "ERROR"], "Lines below this are not written."
)


def parse(argv: list[str]) -> tuple[list[str], str]:
    """Return the positional arguments and the log level; raises UsageError."""
    try:
        rest: list[str] = FLAGS(argv)[1:]
    except flags.Error as error:
        raise UsageError(str(error), "") from None
    return rest, str(FLAGS.log_level)
