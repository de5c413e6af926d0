"""Logs: one JSON object a line, or short sentences, that never hold work up.

Every line has the part that wrote it, a sentence that never changes, and
fields.  JSON lines go to standard output, as the operators' engineers ask;
their letter goes before the house style, which has absl write to standard
error.  A reader that stops reading costs lines, never service: what does not
fit at once is left out, and the next line that fits says how many were.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import logging as python_logging
import os
import select
import time
from collections.abc import Callable
from typing import Any

import orjson
from absl import flags, logging
from twisted import logger as twisted_logger

# Lines a second that one process writes at most; a busy entry ends some 200
# requests a second, and two lines a request are usual.
LINES_PER_S = 400
# A pipe that can be written to takes this many bytes without waiting
# (PIPE_BUF of POSIX); the longest text of a longer line is cut to fit.
LONGEST_LINE = 4096
# Stands in the place of what was cut.
CUT = " [...] "
STDOUT = 1


class Logger:
    """Logger of one module, which is named by a prefix."""

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
        data: dict[str, Any] = {
            "time": record.created,
            "level": record.levelname,
        }
        if record.args and isinstance(record.args[0], Line):
            line = record.args[0]
            data |= {"part": line.part, "text": line.sentence, **line.fields}
        else:
            data |= {"part": record.name, "text": record.getMessage()}
        text = orjson.dumps(data, default=str).decode()
        excess = len(text.encode()) + 1 - LONGEST_LINE
        if excess <= 0:
            return text
        return orjson.dumps(_shortened(data, excess), default=str).decode()


class BoundedHandler(python_logging.Handler):
    """Writes lines to a descriptor without waiting, so many a second."""

    def __init__(
        self,
        *,
        descriptor: int = STDOUT,
        clock: Callable[[], float] = time.monotonic,
        lines_per_s: int = LINES_PER_S,
    ) -> None:
        super().__init__()
        self.setFormatter(JsonFormatter())
        self.left_out = 0
        self._descriptor = descriptor
        self._clock = clock
        self._per_s = lines_per_s
        self._allowance = float(lines_per_s)
        self._at = clock()

    def emit(self, record: python_logging.LogRecord) -> None:
        """Write a record, or count it as left out."""
        if not self._allowed() or not self._write(self.format(record)):
            self.left_out += 1
            return
        if self.left_out and self._write(self._note()):
            self.left_out = 0

    def close(self) -> None:
        """Say at the end of the process how many lines were left out."""
        if self.left_out and self._write(self._note()):
            self.left_out = 0
        super().close()

    def _allowed(self) -> bool:
        now = self._clock()
        earned = (now - self._at) * self._per_s
        self._at = now
        self._allowance = min(self._allowance + earned, self._per_s)
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _note(self) -> str:
        """Return the line that says how many were left out."""
        data = {
            "time": time.time(),
            "level": "WARNING",
            "part": "logs",
            "text": "Lines were left out.",
            "lines": self.left_out,
        }
        return orjson.dumps(data).decode()

    def _write(self, text: str) -> bool:
        """Write a line if that needs no waiting; tell whether it did."""
        _, writable, _ = select.select([], [self._descriptor], [], 0)
        if not writable:
            return False
        data = text.encode()[: LONGEST_LINE - 1] + b"\n"
        try:
            return os.write(self._descriptor, data) == len(data)
        except OSError:
            # There is nobody to tell: the reader of the log has gone.
            return False


def _shortened(data: dict[str, Any], excess: int) -> dict[str, Any]:
    """Return the fields of a line with its longest text cut in the middle.

    The end of a traceback names the error, and its begin the place.
    """
    texts = {name: str(value) for name, value in data.items()}
    name = max(texts, key=lambda each: len(texts[each]))
    text = texts[name]
    kept_bytes = max(0, _encoded_bytes(text + CUT) - 2 * len(CUT) - excess)
    first = _fitting(text, kept_bytes // 2)
    last = _fitting(text[::-1], kept_bytes // 2)[::-1]
    return data | {name: first + CUT + last}


def _fitting(text: str, size: int) -> str:
    """Return the longest begin of a text that is no larger once encoded."""
    for number, character in enumerate(text):
        size -= _encoded_bytes(character)
        if size < 0:
            return text[:number]
    return text


def _encoded_bytes(text: str) -> int:
    """Return the size of a text as JSON, without its quotes."""
    return len(orjson.dumps(text)) - 2


def start(*, as_json: bool) -> None:
    """Send logs to standard error as text, or to standard output as JSON."""
    # absl logs to standard error only until its flags are parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    if as_json:
        handler = BoundedHandler()
        root = python_logging.getLogger()
        root.handlers = [handler]
        logging.get_absl_logger().handlers = []
        logging.get_absl_logger().propagate = True
    observer = twisted_logger.FilteringLogObserver(
        twisted_logger.STDLibLogObserver(),
        (
            twisted_logger.LogLevelFilterPredicate(
                twisted_logger.LogLevel.warn
            ),
        ),
    )
    twisted_logger.globalLogBeginner.beginLoggingTo(
        [observer], redirectStandardIO=False
    )
