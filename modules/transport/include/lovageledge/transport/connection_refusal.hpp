#pragma once

#include "lovageledge/transport/network_types.hpp"

namespace lovageledge {

/** Tells the caller of a new connection, without waiting, that none of its requests is run: there is no
    place for it. Nothing may be sent on the socket after it. @returns false if the kernel did not take it */
bool send_refusal(asio::ip::tcp::socket& socket);

/** Discards what has arrived, without waiting and up to a limit, so that closing the socket does not reset
    the connection. @returns false if there is more */
bool discard_pending(asio::ip::tcp::socket& socket);

} // namespace lovageledge
