#include "lovageledge/gateway/unanswered_requests.hpp"

#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

/** Most log lines a second. Crowds that exhaust the connections or the memory cause thousands of closes. */
constexpr std::uint32_t max_lines_per_second = 10;

} // namespace

void unanswered_requests::add(const unanswered_request& request, time_point now) {
    counters_.count(fmt::format("requests_unanswered_total{{cause=\"{}\"}}", request.cause));
    if (now - second_began_ >= std::chrono::seconds{1}) {
        second_began_ = now;
        logged_ = 0;
    }
    if (logged_ >= max_lines_per_second) {
        ++not_logged_;
        return;
    }
    ++logged_;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(request.connection_age);
    log_.write(event::request_unanswered,
               fmt::format("cause={} connection_age_ms={} former_requests={} read_bytes={} unread_bytes={} "
                           "not_logged={}",
                           request.cause, age.count(), request.former_requests, request.read_bytes,
                           request.unread_bytes, std::exchange(not_logged_, 0)));
}

} // namespace lovageledge
