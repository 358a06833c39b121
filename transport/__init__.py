"""How the system's processes talk: Avro frames over TCP, links between them, and operators' HTTP calls."""
