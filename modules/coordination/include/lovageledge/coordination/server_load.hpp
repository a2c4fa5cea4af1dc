#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>

namespace lovageledge {

/** The load of a server as its owner reports it to the instances that route requests. */
struct server_load {
    start_id start;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    duration wait_estimate{};
    /** Time until an adapter whose load is requested now would be usable. */
    duration load_estimate{};
    bool is_ready = false;
    /** Changes whenever the set of usable adapters changes. */
    std::uint64_t generation = 0;
};

} // namespace lovageledge
