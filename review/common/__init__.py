"""Stand-ins for the platform, replicas and clients, for the review's cases."""
