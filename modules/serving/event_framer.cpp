#include "lovageledge/serving/event_framer.hpp"

namespace lovageledge {
namespace {

/** @returns the value of the last "id" line of whole events, or nothing found as an empty view */
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

/** @returns the position behind the last empty line, or 0 if no event is complete */
std::size_t end_of_whole_events(const std::string& bytes) {
    const std::size_t plain = bytes.rfind("\n\n");
    const std::size_t carriage = bytes.rfind("\r\n\r\n");
    const std::size_t plain_end = plain == std::string::npos ? 0 : plain + 2;
    const std::size_t carriage_end = carriage == std::string::npos ? 0 : carriage + 4;
    return plain_end > carriage_end ? plain_end : carriage_end;
}

} // namespace

std::string event_framer::take(std::string_view bytes) {
    partial_.append(bytes);
    const std::size_t end = end_of_whole_events(partial_);
    std::string whole = partial_.substr(0, end);
    partial_.erase(0, end);
    const std::string_view id = find_last_id(whole);
    if (!id.empty()) {
        last_id_ = id;
    }
    return whole;
}

} // namespace lovageledge
