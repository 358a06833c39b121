"""What all programs of the system share: settings, configuration, errors, logs, messages."""
