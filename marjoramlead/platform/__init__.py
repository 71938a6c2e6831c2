"""Run marjoramlead on the users' platform: all that knows its names."""
