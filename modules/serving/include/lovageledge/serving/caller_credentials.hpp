#pragma once

#include <cstdint>
#include <string>

namespace lovageledge {

/** What a request presents to be admitted under a client account. */
struct caller_credentials {
    enum class form : std::uint8_t {
        /** The request has no credentials. */
        none,
        /** They can't be read, are of another kind, or there are several. */
        malformed,
        key,
    };

    form presented = form::none;
    /** Must not be logged, forwarded or shown in an error. */
    std::string key;
};

} // namespace lovageledge
