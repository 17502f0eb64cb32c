"""Types of identifiers."""

from typing import NewType

RequestId = NewType('RequestId', str)
EndpointId = NewType('EndpointId', str)
EndpointName = NewType('EndpointName', str)
ZoneName = NewType('ZoneName', str)
CustomerId = NewType('CustomerId', str)
ServiceName = NewType('ServiceName', str)
IdempotencyKey = NewType('IdempotencyKey', str)
Offset = NewType('Offset', int)
HostName = NewType('HostName', str)
RouteName = NewType('RouteName', str)
PromptPartId = NewType('PromptPartId', str)
Fingerprint = NewType('Fingerprint', str)
Version = NewType('Version', str)
