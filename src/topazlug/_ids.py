"""Types of identifiers."""

from typing import NewType

DaemonId = NewType("DaemonId", str)
ReplicaId = NewType("ReplicaId", str)
SoftwareVersion = NewType("SoftwareVersion", str)
GroupName = NewType("GroupName", str)
TeamName = NewType("TeamName", str)
RequestId = NewType("RequestId", str)
ProcessKey = NewType("ProcessKey", int)
StreamKey = NewType("StreamKey", int)
ChatHash = NewType("ChatHash", int)
Fingerprint = NewType("Fingerprint", str)
AdmissionRequestId = NewType("AdmissionRequestId", int)
Revision = NewType("Revision", int)
