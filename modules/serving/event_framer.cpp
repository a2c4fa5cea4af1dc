#include "lovageledge/serving/event_framer.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace lovageledge {
namespace {

/** Removes the first line from a text. @returns the line, without its end */
std::string_view take_line(std::string_view& text) {
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return line;
}

/** @returns the value of an "id" field, or an empty view for another line */
std::string_view id_of_line(std::string_view line) {
    if (line.substr(0, 3) != "id:") {
        return {};
    }
    line.remove_prefix(3);
    const std::size_t first = line.find_first_not_of(' ');
    const std::size_t last = line.find_last_not_of(" \r");
    return first == std::string_view::npos ? std::string_view{} : line.substr(first, last - first + 1);
}

/** @param known_bytes bytes at the beginning in which no event is complete
    @returns the offset just past the last empty line, or 0 if no event is complete */
std::size_t end_of_complete_events(std::string_view bytes, std::size_t known_bytes) {
    constexpr std::string_view longest_end = "\r\n\r\n";
    const std::size_t skipped = known_bytes - std::min(known_bytes, longest_end.size() - 1);
    const std::string_view searched = bytes.substr(skipped);
    const std::size_t lf = searched.rfind("\n\n");
    const std::size_t crlf = searched.rfind(longest_end);
    const std::size_t lf_end = lf == std::string_view::npos ? 0 : skipped + lf + 2;
    const std::size_t crlf_end = crlf == std::string_view::npos ? 0 : skipped + crlf + longest_end.size();
    return std::max(lf_end, crlf_end);
}

bool has_control_character(std::string_view text) {
    return std::any_of(text.begin(), text.end(), [](char character) {
        const auto code = static_cast<unsigned char>(character);
        return code < 0x20 || code == 0x7f;
    });
}

std::optional<std::uint64_t> parse_id(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_number = problem == std::errc{} && end == text.data() + text.size() && !text.empty();
    return is_number ? std::optional{value} : std::nullopt;
}

} // namespace

void event_framer::begin_run() {
    partial_.clear();
    has_event_ = false;
    must_continue_ = !last_id_.empty();
}

event_framer event_framer::next_run() const {
    event_framer next;
    next.last_id_ = last_id_;
    next.largest_step_ = largest_step_;
    next.begin_run();
    return next;
}

bool event_framer::accept_id(std::string_view id) {
    if (has_control_character(id)) {
        if (must_continue_) {
            last_reason_ = "the stream was resumed with an event whose id has control characters";
            return false;
        }
        last_id_.clear(); // It can't be sent in a header.
        return true;
    }
    const auto last = parse_id(last_id_);
    const auto next = parse_id(id);
    const bool are_numbers = last && next;
    if (must_continue_) {
        const bool is_repeated = are_numbers ? *next <= *last : id == last_id_;
        const bool is_gap = are_numbers && largest_step_ > 0 && *next > *last + largest_step_;
        if (is_repeated || is_gap) {
            last_reason_ = "the stream was resumed with event " + std::string{id} + " after " + last_id_;
            return false;
        }
    } else if (are_numbers && *next > *last) {
        largest_step_ = std::max(largest_step_, *next - *last);
    }
    must_continue_ = false;
    last_id_ = id;
    return true;
}

std::optional<std::string> event_framer::append(std::string_view bytes) {
    const std::size_t known_bytes = partial_.size();
    partial_.append(bytes);
    const std::size_t end = end_of_complete_events(partial_, known_bytes);
    std::string complete = partial_.substr(0, end);
    partial_.erase(0, end);
    has_event_ = has_event_ || end > 0;
    std::string_view rest = complete;
    while (!rest.empty()) {
        const std::string_view id = id_of_line(take_line(rest));
        if (!id.empty() && !accept_id(id)) {
            return std::nullopt;
        }
    }
    return complete;
}

std::optional<std::string> event_framer::finish() {
    std::string rest = std::exchange(partial_, {});
    if (must_continue_ && !rest.empty()) {
        last_reason_ = "the resumed stream ended in the middle of an event";
        return std::nullopt;
    }
    return rest;
}

} // namespace lovageledge
