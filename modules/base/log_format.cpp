#include "lovageledge/base/log_format.hpp"

#include <algorithm>
#include <iterator>
#include <spdlog/pattern_formatter.h>

namespace lovageledge {
namespace {

/** Formats a message's text on one line. */
class line_text_flag : public spdlog::custom_flag_formatter {
public:
    void format(const spdlog::details::log_msg& message, const std::tm& /*time*/,
                spdlog::memory_buf_t& line) override {
        std::transform(message.payload.begin(), message.payload.end(), std::back_inserter(line),
                       [](char character) {
                           const auto code = static_cast<unsigned char>(character);
                           return code < ' ' || code == 0x7f ? '?' : character;
                       });
    }

    std::unique_ptr<spdlog::custom_flag_formatter> clone() const override {
        return std::make_unique<line_text_flag>();
    }
};

} // namespace

std::unique_ptr<spdlog::formatter> make_log_formatter() {
    auto formatter = std::make_unique<spdlog::pattern_formatter>(spdlog::pattern_time_type::utc);
    formatter->add_flag<line_text_flag>('*').set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %*");
    return formatter;
}

} // namespace lovageledge
