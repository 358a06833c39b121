"""The flags of a role's command line; loaded only where there are any, as a process starts often."""

from __future__ import annotations

from absl import flags

from mastturnd.wrong import UsageError

FLAGS = flags.FLAGS
flags.DEFINE_enum(
    "log_level", "INFO", ["DEBUG", "INFO", "WARNING", "ERROR"], "Lines below this are not written."
)


def parse(argv: list[str]) -> tuple[list[str], str]:
    """The words beside the flags, and the level of the log; raises UsageError."""
    try:
        rest: list[str] = FLAGS(argv)[1:]
    except flags.Error as error:
        raise UsageError(str(error), "") from None
    return rest, str(FLAGS.log_level)
