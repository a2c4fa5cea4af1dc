#pragma once

#include "lovageledge/gateway/wire_codec.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovageledge {

/** How the end of a response's body is told. */
enum class body_framing : std::uint8_t {
    /** There is no head yet, or HTTP ends the response with it. */
    none,
    length,
    chunks,
    /** By the end of the connection. */
    close,
};

/** @returns the name of a framing for the log. Thread-safe. */
std::string_view to_text(body_framing framing);
/** @returns how a response tells the end of its body. Thread-safe. */
body_framing framing_of(const response_head& head);
/** @returns false if a request's length can be understood in two ways, which would allow request smuggling.
    Thread-safe. */
bool has_unambiguous_framing(const http::request<http::string_body>& request);

/** @returns the head of a caller's request as it is sent to a server: without the headers that concern one
    connection or that only the gateway sets, and with the parameters of this attempt. Thread-safe.
    @param scope decides which headers only the gateway sets */
std::string make_request_head(const http::request<http::string_body>& request, const wire_codec& codec,
                              header_scope scope, const forwarding_parameters& parameters);
/** @returns the headers of a server's response that are forwarded to the caller. Thread-safe. */
std::vector<http_header> forwarded_headers(const response_head& head);

/** @returns a view of the same characters. Thread-safe. */
inline std::string_view to_string_view(beast::string_view text) {
    return {text.data(), text.size()};
}

} // namespace lovageledge
