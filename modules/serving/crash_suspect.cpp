#include "lovageledge/serving/crash_suspect.hpp"

#include <string>

namespace lovageledge {

crash_suspect make_request_suspect(std::string_view host, std::string_view method, std::string_view path,
                                   std::string_view body) {
    std::string text;
    for (const std::string_view part : {host, method, path}) {
        text.append(part).push_back('\n'); // None of these parts can contain a line break.
    }
    return {stable_hash(text.append(body)), suspect_kind::request};
}

crash_suspect make_prompt_part_suspect(const pool_name& service, std::string_view part) {
    return {stable_hash(service.text() + '\n' + std::string{part}), suspect_kind::prompt_part};
}

server_start_id make_server_start_id(const server_name& server, std::uint64_t started_at) {
    return {stable_hash(server.text() + "@" + std::to_string(started_at))};
}

} // namespace lovageledge
