"""The decision module: settings, events, actions, records and the choices. No clock, no sockets."""
