"""A transport of an asyncio protocol that sends nothing anywhere."""


class StillTransport:
    """Keeps whether it was closed and paused, and hands over what a test delivers.

    :param connection: the protocol.
    """

    def __init__(self, connection):
        self.connection = connection
        self.closed = False
        self.paused = False
        self.delivered = 0
        connection.connection_made(self)

    def get_extra_info(self, name):
        return None

    def get_write_buffer_size(self):
        return 0

    def write(self, data):
        pass

    def abort(self):
        self.closed = True

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def deliver(self, data):
        """Hand over bytes as the endpoint sent them."""
        self.delivered += len(data)
        self.connection.data_received(data)
