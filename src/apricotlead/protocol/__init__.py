"""Messages, codecs and typed errors: the vocabulary of all other layers."""
