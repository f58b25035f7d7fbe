"""Error of a request that the engine stand-in refuses."""

from __future__ import annotations

from dogwoodpost.errors import DogwoodpostError


class EngineRefusal(DogwoodpostError):  # noqa: N818
    """The engine refused a request or an order.

    :param status: HTTP status of the response.
    :param code: machine-readable error code.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        self.status = status
        self.code = code
        super().__init__(message)

    def document(self) -> dict[str, object]:
        """Return the JSON body of the refusal."""
        return {'error': {'code': self.code, 'message': str(self)}}
