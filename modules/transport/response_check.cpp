#include "lovageledge/transport/response_check.hpp"

namespace lovageledge {
namespace {

constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;

} // namespace

const char* find_malformed(const http::response_header<>& head) {
    const unsigned status = head.result_int();
    if (status < min_status || status > max_status) {
        return "a status that HTTP does not have";
    }
    if (head.result() == http::status::switching_protocols) {
        return "a change of the protocol that was not asked for";
    }
    const auto codings = head.count(http::field::transfer_encoding);
    const bool is_plain_or_chunked =
        codings == 0 || (codings == 1 && beast::iequals(head[http::field::transfer_encoding], "chunked"));
    return is_plain_or_chunked ? nullptr : "a transfer coding that was not asked for";
}

} // namespace lovageledge
