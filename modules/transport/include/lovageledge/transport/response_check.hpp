#pragma once

#include "lovageledge/transport/network_types.hpp"

namespace lovageledge {

/** @returns what HTTP does not allow in the head of a response that could be parsed, or nullptr */
const char* find_malformed(const http::response_header<>& head);

} // namespace lovageledge
