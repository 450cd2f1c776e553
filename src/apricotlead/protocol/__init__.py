"""Messages, codecs and typed errors that all other layers share."""
