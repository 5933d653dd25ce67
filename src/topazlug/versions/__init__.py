"""Software versions of replicas, and the version that began each stream."""
