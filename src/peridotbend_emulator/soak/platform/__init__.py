"""What the soak says in the words of the users' platform."""
