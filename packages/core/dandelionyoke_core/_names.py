"""Identifier types, one per kind, so that kinds cannot be confused."""

from typing import NewType

AttemptId = NewType('AttemptId', str)
ChangeId = NewType('ChangeId', str)
Domain = NewType('Domain', str)
InstanceId = NewType('InstanceId', str)
LeaseId = NewType('LeaseId', str)
ModelName = NewType('ModelName', str)
OperationId = NewType('OperationId', str)
OrderId = NewType('OrderId', str)
OrganisationId = NewType('OrganisationId', str)
RequestId = NewType('RequestId', str)
ServiceName = NewType('ServiceName', str)
TargetId = NewType('TargetId', str)
WindowId = NewType('WindowId', str)
