"""Small stand-ins for what is outside: the source and the targets."""
