#pragma once

#include "lovageledge/service/decision_log.hpp"
#include "lovageledge/service/metrics.hpp"
#include "lovageledge/transport/unanswered_request.hpp"

namespace lovageledge {

/** Counts and logs requests whose connection the gateway closed without a response. Must only be used on the
   gateway's thread. */
class unanswered_requests {
public:
    unanswered_requests(decision_log& log, metrics& counters) : log_{log}, counters_{counters} {}

    /** Counts a request, and logs it unless many were logged in the same second. */
    void add(const unanswered_request& request, time_point now);

private:
    decision_log& log_;
    metrics& counters_;
    time_point second_began_{};
    std::uint32_t logged_ = 0;
    std::uint64_t not_logged_ = 0;
};

} // namespace lovageledge
