"""Codec of typed error details in the trailers of gRPC responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from grpclib.encoding.base import StatusDetailsCodecBase

from dogwoodpost.admin import dogwoodpost_admin_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Sequence

    from google.protobuf.message import Message
    from grpclib.const import Status

_DETAIL_TYPES = (pb.InvalidInputDetail, pb.ConflictDetail)


class StatusDetailsCodec(StatusDetailsCodecBase):
    """Encodes and decodes details in the format of ``google.rpc.Status``."""

    def encode(
        self,
        status: Status,
        message: str | None,
        details: Sequence[Message] | None,
    ) -> bytes:
        """Return the trailer's bytes."""
        error = pb.ErrorStatus(code=status.value, message=message or '')
        for detail in details or ():
            error.details.add().Pack(detail)
        return error.SerializeToString()

    def decode(
        self, status: Status, message: str | None, data: bytes
    ) -> list[Message]:
        """Return the details of known types."""
        error = pb.ErrorStatus.FromString(data)
        details: list[Message] = []
        for packed in error.details:
            for detail_type in _DETAIL_TYPES:
                detail = detail_type()
                if packed.Unpack(detail):
                    details.append(detail)
        return details
