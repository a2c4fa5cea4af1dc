#include "lovageledge/serving/event_framer.hpp"

namespace lovageledge {
namespace {

/** @returns the value of the last non-empty "id" field in complete events, or an empty view */
std::string_view find_last_id(std::string_view events) {
    std::string_view found;
    while (!events.empty()) {
        const std::size_t end = events.find('\n');
        std::string_view line = events.substr(0, end);
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1);
        if (line.substr(0, 3) != "id:") {
            continue;
        }
        line.remove_prefix(3);
        const std::size_t first = line.find_first_not_of(' ');
        const std::size_t last = line.find_last_not_of(" \r");
        if (first != std::string_view::npos) {
            found = line.substr(first, last - first + 1);
        }
    }
    return found;
}

/** @returns the offset just past the last empty line, or 0 if no event is complete */
std::size_t end_of_complete_events(const std::string& bytes) {
    const std::size_t lf = bytes.rfind("\n\n");
    const std::size_t crlf = bytes.rfind("\r\n\r\n");
    const std::size_t lf_end = lf == std::string::npos ? 0 : lf + 2;
    const std::size_t crlf_end = crlf == std::string::npos ? 0 : crlf + 4;
    return lf_end > crlf_end ? lf_end : crlf_end;
}

} // namespace

std::string event_framer::append(std::string_view bytes) {
    partial_.append(bytes);
    const std::size_t end = end_of_complete_events(partial_);
    std::string complete = partial_.substr(0, end);
    partial_.erase(0, end);
    const std::string_view id = find_last_id(complete);
    if (!id.empty()) {
        last_id_ = id;
    }
    return complete;
}

} // namespace lovageledge
