#pragma once

#include "lovageledge/transport/network_types.hpp"

namespace lovageledge {

/** Makes the kernel drop the requests for further connections to a listening socket. Handshakes that have
    begun still complete. A caller sends its request again after a second, and is refused if the socket is
    closed by then.
    @returns the error if the system does not offer this; connections are then established as before */
boost::system::error_code drop_new_handshakes(asio::ip::tcp::acceptor& acceptor);

} // namespace lovageledge
