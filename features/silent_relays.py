"""What steps on connections that go silent share."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json

from features import platform_clients as clients
from standins import silent

# What the runs of steps add to a time-out on a busy machine, in seconds.
SLACK_S = 0.3


def relay(context, to):
    """Return a relay that is closed with the scenario."""
    made = silent.Relay(to=to)
    context.add_cleanup(made.close)
    return made


def set_fields(made, name, **fields):
    """Change settings of an entry that has not started."""
    data, path = clients.settings_file(made, name)
    path.write_text(json.dumps({**data, **fields}))
