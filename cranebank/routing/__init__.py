"""What is decided about routes beside the choice of a host: which hosts a copy knows at all. No I/O."""
