#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <string_view>

namespace lovageledge {

/** What a suspect stands for. */
enum class suspect_kind : std::uint8_t {
    /** A whole request: copies of it crash the servers that run them. */
    request,
    /** A part of prompts: all requests that have it crash the servers that begin to answer them. */
    prompt_part,
};

/** @returns the name of a kind, for the log. Thread-safe. */
constexpr std::string_view to_text(suspect_kind kind) {
    return kind == suspect_kind::request ? "request" : "prompt_part";
}

/** What may be to blame for the end of a server, the same on all gateways. */
struct crash_suspect {
    std::uint64_t digest = 0;
    suspect_kind kind = suspect_kind::request;

    auto operator<=>(const crash_suspect&) const = default; // NOLINT(modernize-use-nullptr)
};

/** Derives the suspect that all copies of a request have in common. Who sends it is left out: copies come
   from several addresses. Thread-safe.
    @param host the host of the matched route
    @param path the path without the query, in which copies may differ */
crash_suspect make_request_suspect(std::string_view host, std::string_view method, std::string_view path,
                                   std::string_view body);
/** Derives the suspect that all requests with a part of a prompt have in common. Thread-safe.
    @param service a part that crashes the servers of one service may be sound at another */
crash_suspect make_prompt_part_suspect(const pool_name& service, std::string_view part);

/** Identifies one start of a backend server, the same on all gateways. */
struct server_start_id {
    std::uint64_t digest = 0;

    auto operator<=>(const server_start_id&) const = default; // NOLINT(modernize-use-nullptr)
};

/** @returns the identifier of a server's start. Thread-safe. */
server_start_id make_server_start_id(const server_name& server, std::uint64_t started_at);

} // namespace lovageledge
