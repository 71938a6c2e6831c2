"""Small stand-ins for the systems around a node: stores and targets."""
