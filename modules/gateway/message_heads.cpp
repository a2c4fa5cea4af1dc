#include "lovageledge/gateway/message_heads.hpp"

#include <algorithm>
#include <array>
#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

constexpr std::array<std::string_view, 9> connection_headers{
    "connection", "keep-alive", "proxy-connection", "transfer-encoding", "content-length", "te", "trailer",
    "upgrade",    "expect"};

/** Header with which a client of server-sent events resumes a stream. */
constexpr const char* last_event_id_header = "Last-Event-Id";

bool is_connection_header(std::string_view name) {
    return std::any_of(connection_headers.begin(), connection_headers.end(), [&](std::string_view known) {
        return beast::iequals(beast::string_view{known.data(), known.size()},
                              beast::string_view{name.data(), name.size()});
    });
}

} // namespace

std::string_view to_text(body_framing framing) {
    switch (framing) {
    case body_framing::none:
        return "none";
    case body_framing::length:
        return "length";
    case body_framing::chunks:
        return "chunks";
    case body_framing::close:
        return "close";
    }
    return "";
}

body_framing framing_of(const response_head& head) {
    if (!head.may_have_body()) {
        return body_framing::none;
    }
    if (head.is_chunked) {
        return body_framing::chunks;
    }
    return head.content_length ? body_framing::length : body_framing::close;
}

bool has_unambiguous_framing(const http::request<http::string_body>& request) {
    const auto codings = request.count(http::field::transfer_encoding);
    const auto lengths = request.count(http::field::content_length);
    if (codings == 0) {
        return lengths <= 1;
    }
    return codings == 1 && lengths == 0 && beast::iequals(request[http::field::transfer_encoding], "chunked");
}

std::string make_request_head(const http::request<http::string_body>& request, const wire_codec& codec,
                              header_scope scope, const forwarding_parameters& parameters) {
    std::string head = fmt::format("{} {} HTTP/1.1\r\n", to_string_view(request.method_string()),
                                   to_string_view(request.target()));
    const std::string connection_tokens{request[http::field::connection]};
    for (const auto& field : request) {
        const std::string_view name = to_string_view(field.name_string());
        const bool is_replaced =
            parameters.resume_after && beast::iequals(field.name_string(), last_event_id_header);
        const bool is_dropped = is_connection_header(name) || codec.is_reserved(name, scope) || is_replaced ||
                                (field.name() == http::field::unknown && !connection_tokens.empty() &&
                                 http::token_list{connection_tokens}.exists(field.name_string()));
        if (!is_dropped) {
            head += fmt::format("{}: {}\r\n", name, to_string_view(field.value()));
        }
    }
    codec.append_parameters(head, parameters);
    const bool has_body = !request.body().empty() || request.count(http::field::content_length) > 0 ||
                          request.count(http::field::transfer_encoding) > 0;
    if (has_body) {
        head += fmt::format("Content-Length: {}\r\n", request.body().size());
    }
    head += "\r\n";
    return head;
}

std::vector<http_header> forwarded_headers(const response_head& head) {
    std::vector<http_header> headers;
    for (const http_header& header : head.headers) {
        if (!is_connection_header(header.name)) {
            headers.push_back(header);
        }
    }
    return headers;
}

} // namespace lovageledge
