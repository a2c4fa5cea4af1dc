#pragma once

#include "lovageledge/base/base.hpp"

#include <optional>
#include <vector>

namespace lovageledge {

/**
    The recent ratios of observed to expected times of one server, weighted by age.

    The expected times are rough, since the tokens ahead of a request are known only approximately. The median
    is therefore used, which single wrong ratios do not move. Not thread-safe.
*/
class speed_evidence {
public:
    /** Adds an observation, which takes the place of the oldest one if there are too many.
        @param ratio observed time by expected time, greater than 0
        @param importance weight while the observation is new, up to 1 */
    void add(double ratio, double importance, time_point now);
    /** @returns the number of observations, each weighted by its age and importance */
    double weight(time_point now) const;
    /** @returns the weighted median of the ratios' logarithms, or nothing without observations */
    std::optional<double> median_log(time_point now) const;

private:
    struct sample {
        double log_ratio = 0.0;
        double importance = 0.0;
        time_point observed_at{};
    };

    static double weight_of(const sample& observed, time_point now);

    std::vector<sample> samples_;
    std::size_t next_ = 0;
};

} // namespace lovageledge
