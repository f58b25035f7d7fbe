"""Refusal of a request by the engine stand-in."""

from __future__ import annotations

from dogwoodpost.errors import DogwoodpostError


class EngineRefusal(DogwoodpostError):  # noqa: N818
    """A request or an order that the engine does not carry out."""

    def __init__(self, status: int, code: str, message: str) -> None:
        self.status = status
        self.code = code
        super().__init__(message)

    def document(self) -> dict[str, object]:
        """Return the JSON body of the refusal."""
        return {'error': {'code': self.code, 'message': str(self)}}
