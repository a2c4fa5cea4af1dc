#include "lovageledge/service/metrics.hpp"

#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

namespace acc = boost::accumulators;

constexpr double reported_quantiles[] = {0.5, 0.95, 0.99};

} // namespace

metrics::distribution::distribution() {
    for (const double probability : reported_quantiles) {
        quantiles.emplace(probability, quantile{acc::quantile_probability = probability});
    }
}

void metrics::count(const std::string& name, std::uint64_t amount) {
    const std::scoped_lock lock{mutex_};
    counters_[name] += amount;
}

void metrics::set(const std::string& name, std::uint64_t value) {
    const std::scoped_lock lock{mutex_};
    counters_[name] = value;
}

void metrics::observe(const std::string& name, duration sample) {
    const double seconds = std::chrono::duration<double>(sample).count();
    const std::scoped_lock lock{mutex_};
    distribution& entry = distributions_[name];
    entry.summary(seconds);
    for (auto& [probability, estimate] : entry.quantiles) {
        estimate(seconds);
    }
}

std::string metrics::text() const {
    std::string text;
    const std::scoped_lock lock{mutex_};
    for (const auto& [name, value] : counters_) {
        text += fmt::format("ledge_{} {}\n", name, value);
    }
    for (const auto& [name, entry] : distributions_) {
        for (const auto& [probability, estimate] : entry.quantiles) {
            text += fmt::format("ledge_{}{{quantile=\"{}\"}} {:.6f}\n", name, probability,
                                acc::p_square_quantile(estimate));
        }
        text += fmt::format("ledge_{}_sum {:.6f}\n", name, acc::sum(entry.summary));
        text += fmt::format("ledge_{}_count {}\n", name, acc::count(entry.summary));
        text += fmt::format("ledge_{}_max {:.6f}\n", name, acc::max(entry.summary));
    }
    return text;
}

} // namespace lovageledge
