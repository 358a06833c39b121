"""Transport between the system's processes: Avro frames over TCP, and the HTTP server for operators."""
