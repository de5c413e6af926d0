"""Shared helpers for connections that stop delivering data."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json

from features import platform_clients as clients
from standins import silent

# Allowance for a busy machine on top of a time-out.
SLACK_S = 0.3


def relay(context, to):
    """Return a relay that is closed at the end of the scenario."""
    made = silent.Relay(to=to)
    context.add_cleanup(made.close)
    return made


def set_fields(made, name, **fields):
    """Change settings of an entry before it starts."""
    data, path = clients.settings_file(made, name)
    path.write_text(json.dumps({**data, **fields}))
