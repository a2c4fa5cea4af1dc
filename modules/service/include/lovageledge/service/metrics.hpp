#pragma once

#include "lovageledge/base/base.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace lovageledge {

/** Counters and distributions of one instance, exported in the Prometheus text format. Thread-safe. */
class metrics {
public:
    metrics() = default;
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics() = default;

    /** Adds to a counter. @param name with labels, as in requests_total{outcome="done"} */
    void count(const std::string& name, std::uint64_t amount = 1);
    /** Sets the current value of a gauge. */
    void set(const std::string& name, std::uint64_t value);
    /** Adds a sample to a distribution, which is exported in seconds. */
    void observe(const std::string& name, duration sample);
    /** @returns all metrics in the Prometheus text format */
    std::string text() const;

private:
    /** Quantiles by the P-square algorithm (Jain and Chlamtac 1985), as implemented in Boost.Accumulators. */
    using quantile = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
    struct distribution {
        distribution();
        boost::accumulators::accumulator_set<
            double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                               boost::accumulators::tag::max>>
            summary;
        std::map<double, quantile> quantiles;
    };

    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, distribution> distributions_;
};

} // namespace lovageledge
