#include "lovageledge/serving/speed_evidence.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lovageledge {
namespace {

/** Enough for a median; a deployment has thousands of servers and each gateway keeps this many for each. */
constexpr std::size_t max_samples = 24;
/** Age at which an observation counts half. A server that recovers is used in full after about two of them,
    and a gateway sends few requests to each server, so a much shorter one would leave no evidence. */
constexpr double half_life_seconds = 10.0;
/** Single ratios beyond this are cut off, so that one frozen request does not count as a slow server. */
constexpr double max_log_ratio = 2.1;

} // namespace

double speed_evidence::weight_of(const sample& observed, time_point now) {
    const double age = std::chrono::duration<double>(now - observed.observed_at).count();
    return observed.importance * std::exp2(-std::max(0.0, age) / half_life_seconds);
}

void speed_evidence::add(double ratio, double importance, time_point now) {
    const sample observed{std::clamp(std::log(ratio), -max_log_ratio, max_log_ratio), importance, now};
    if (samples_.size() < max_samples) {
        samples_.push_back(observed);
        return;
    }
    samples_[next_] = observed;
    next_ = (next_ + 1) % max_samples;
}

double speed_evidence::weight(time_point now) const {
    double total = 0.0;
    for (const sample& observed : samples_) {
        total += weight_of(observed, now);
    }
    return total;
}

std::optional<double> speed_evidence::median_log(time_point now) const {
    if (samples_.empty()) {
        return std::nullopt;
    }
    std::vector<std::pair<double, double>> ordered;
    ordered.reserve(samples_.size());
    double total = 0.0;
    for (const sample& observed : samples_) {
        ordered.emplace_back(observed.log_ratio, weight_of(observed, now));
        total += ordered.back().second;
    }
    std::sort(ordered.begin(), ordered.end());
    double below = 0.0;
    for (const auto& [log_ratio, weight] : ordered) {
        below += weight;
        if (below * 2.0 >= total) {
            return log_ratio;
        }
    }
    return ordered.back().first;
}

} // namespace lovageledge
