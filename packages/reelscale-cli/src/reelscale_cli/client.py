"""Talks to the operators' side of an entry."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

import httpx
from reelscale_core import error

TIMEOUT_S = 15.0


class Client:
    """An operator's connection to one entry."""

    def __init__(self, *, entry: str, key: str) -> None:
        self._entry = entry
        self._http = httpx.Client(
            base_url=entry,
            headers={"authorization": f"Bearer {key}"},
            timeout=TIMEOUT_S,
        )

    def ask(self, method: str, path: str, data: Any = None) -> Any:
        """Ask an entry.

        Raises:
          CodedError: The entry's own error, or "entry-unreachable".
        """
        try:
            got = self._http.request(method, f"/operator{path}", json=data)
        except httpx.HTTPError as lost:
            raise error.CodedError(
                "entry-unreachable",
                step=path.strip("/").partition("/")[0],
                peer=self._entry,
                detail=f"{lost}; try another entry",
                outcome=error.OUTCOME_UNKNOWN,
            ) from lost
        body = got.json()
        if got.status_code == httpx.codes.OK:
            return body
        raise error.CodedError(
            body["code"],
            step=body["step"],
            peer=body["peer"],
            detail=body["detail"],
            status=got.status_code,
            outcome=body["outcome"],
            faults=tuple(error.Fault(**row) for row in body["faults"]),
        )
