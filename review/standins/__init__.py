"""Stand-ins for the platform, its instances and its clients."""
