#pragma once

// Umbrella header of the transport module: HTTP over Boost.Beast, peer messages over ZeroMQ.
// Depends on: protocol, Boost.Asio, Boost.Beast, ZeroMQ.

#include "lovageledge/transport/forwarding_connection.hpp"
#include "lovageledge/transport/http_connection.hpp"
#include "lovageledge/transport/http_server.hpp"
#include "lovageledge/transport/log_exception.hpp"
#include "lovageledge/transport/peer_socket.hpp"
#include "lovageledge/transport/percent_encoding.hpp"
#include "lovageledge/transport/server_drain.hpp"
