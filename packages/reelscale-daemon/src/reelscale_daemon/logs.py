"""Logs: short sentences with a fixed prefix for each part.

Fields that a machine may want follow the sentence as key=value, or stand
apart in JSON lines when the settings ask for those.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import logging as python_logging
from typing import Any

from absl import flags, logging


class Part:
    """The log of one part of the daemon."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix

    def info(self, sentence: str, **fields: Any) -> None:
        """Log what an operator may want to know."""
        self._log(logging.INFO, sentence, fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log what an operator should look at."""
        self._log(logging.WARNING, sentence, fields)

    def error(self, sentence: str, **fields: Any) -> None:
        """Log what an operator must look at."""
        self._log(logging.ERROR, sentence, fields)

    def _log(self, level: int, sentence: str, fields: dict) -> None:
        python_logging.getLogger("absl").log(
            logging.converter.absl_to_standard(level),
            "%s",
            Line(self._prefix, sentence, fields),
        )


class Line:
    """One line, formatted only when it is written."""

    def __init__(self, part: str, sentence: str, fields: dict) -> None:
        self.part = part
        self.sentence = sentence
        self.fields = fields

    def __str__(self) -> str:
        """Return the line as text."""
        words = [f"{self.part}: {self.sentence}"]
        words += [f"{key}={value}" for key, value in self.fields.items()]
        return " ".join(words)


class JsonFormatter(python_logging.Formatter):
    """Writes each record as one JSON object."""

    def format(self, record: python_logging.LogRecord) -> str:
        """Return a record as a JSON line."""
        data = {
            "time": record.created,
            "level": record.levelname,
        }
        if record.args and isinstance(record.args[0], Line):
            line = record.args[0]
            data |= {"part": line.part, "text": line.sentence, **line.fields}
        else:
            data["text"] = record.getMessage()
        return json.dumps(data, default=str)


def start(*, as_json: bool) -> None:
    """Send logs to standard error, as text or as JSON lines."""
    # absl logs to standard error only until its flags are parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    if as_json:
        logging.get_absl_handler().setFormatter(JsonFormatter())
