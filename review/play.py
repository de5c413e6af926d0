"""Runs the script of a case; an unforeseen error is no verdict."""

import runpy
import sys
import traceback

NOT_RUN = 2


def main() -> None:
    """Run the script that is named; exit with 2 after an error."""
    try:
        runpy.run_path(sys.argv[1], run_name="__main__")
    except SystemExit:
        raise
    except BaseException:
        traceback.print_exc()
        sys.exit(NOT_RUN)


if __name__ == "__main__":
    main()
