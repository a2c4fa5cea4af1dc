#pragma once

#include <string>
#include <string_view>

namespace lovageledge {

/** Encodes a text as one segment of a path or one value of a query in a request's target (RFC 3986): all
    bytes but unreserved characters are escaped. Thread-safe. */
std::string percent_encoded(std::string_view text);

} // namespace lovageledge
