#pragma once

#include "lovageledge/base/base.hpp"
#include "lovageledge/transport/network_types.hpp"

namespace lovageledge {

/** Makes the operations of a connected socket fail once its peer's machine has acknowledged nothing for this
    long, neither data nor the kernel's probes. A peer process that is suspended or busy goes unnoticed, as
   its kernel acknowledges. @param limit at least 1 ms; noticed up to about a second later */
void set_keep_alive(asio::ip::tcp::socket& socket, duration limit);

} // namespace lovageledge
