"""Identifier types."""

from __future__ import annotations

from typing import NewType

ClientAccountId = NewType('ClientAccountId', str)
KeyId = NewType('KeyId', str)
ServiceName = NewType('ServiceName', str)
RouteName = NewType('RouteName', str)
EndpointId = NewType('EndpointId', str)
HostId = NewType('HostId', str)
ProcessId = NewType('ProcessId', str)
Incarnation = NewType('Incarnation', str)
AvailabilityZone = NewType('AvailabilityZone', str)
Region = NewType('Region', str)
AttemptId = NewType('AttemptId', str)
RequestId = NewType('RequestId', str)
OperationId = NewType('OperationId', str)
TrainerId = NewType('TrainerId', str)
StepId = NewType('StepId', str)
SampleId = NewType('SampleId', str)
BatchId = NewType('BatchId', str)
ModelName = NewType('ModelName', str)
WeightVersion = NewType('WeightVersion', int)
Revision = NewType('Revision', int)
FencingNumber = NewType('FencingNumber', int)
ShardName = NewType('ShardName', str)
UsageWindow = NewType('UsageWindow', int)
JobId = NewType('JobId', str)
ItemId = NewType('ItemId', str)
GroupId = NewType('GroupId', str)
