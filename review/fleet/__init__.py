"""Stand-ins for the platform, and a fleet of real nodes, for cases 6 to 10."""
