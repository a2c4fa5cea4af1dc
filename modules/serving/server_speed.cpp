#include "lovageledge/serving/server_speed.hpp"

#include <algorithm>
#include <cmath>

namespace lovageledge {
namespace {

/** Responses of a start's first seconds are not counted: its prompt cache is cold and it may still load. */
constexpr auto settling_time = std::chrono::seconds{3};
/** Shorter expected times say little, since the path and the gateway's own delays have too large a share. */
constexpr auto min_expected_local = std::chrono::milliseconds{10};
/** A round trip to another region takes up to 24 ms, which is a tenth of this. */
constexpr auto min_expected_remote = std::chrono::milliseconds{240};
/** Assumed times of an engine for a prompt token and of a plain server for a request. Only the quotients of
    servers of the same service matter. */
constexpr std::chrono::duration<double, std::milli> prompt_token_time{1.0 / 38.4};
constexpr std::chrono::duration<double, std::milli> plain_service_time{40.0};
/** Reports of other gateways' work are 150 to 400 ms old, and sample_work() is called every 150 ms. With what
    is known when a request is sent instead, the ratios of equal servers varied by a factor of ten, since the
    requests that others have just sent are missing. */
constexpr auto work_delay = std::chrono::milliseconds{250};
/** Requests without a response for this long are not observed any more; later than the routes' timeouts. */
constexpr auto longest_wait = std::chrono::seconds{30};
/** Largest number of sent requests that are observed at the same time, about 2 MB. */
constexpr std::size_t max_sent = 8'192;
/** Assumed time of a step of an engine. Any value would do, since all engines are compared with it. */
constexpr auto engine_step = std::chrono::milliseconds{5};
/** A median of fewer servers would make the deviation of one server that of another. */
constexpr std::size_t min_servers = 2;
/** Smallest weight of a server that counts for the middle of its service. */
constexpr double min_weight = 0.5;
/** Logarithm of the smallest factor that counts as a difference, 1.1. */
const double min_log_factor = std::log(1.1);
/** Standard deviation that one observation contributes to the logarithm of a factor. Queues that are not
   known make single ratios vary by about 0.5; medians of few ratios, and that gateways report only what
   differs, add to it. */
constexpr double ratio_deviation = 0.8;
/** Number of standard errors that are taken for noise. Hundreds of servers are tested again and again, so
    three would take some equal servers for different ones. */
constexpr double noise_errors = 4.0;
/** More observations do not lower the standard error further, because those of the same seconds share the
    same unknown queue. */
constexpr double max_independent = 100.0;
/** Weight at which the confidence is one half. */
constexpr double half_confidence = 8.0;
constexpr double min_factor = 0.25;
constexpr double max_factor = 4.0;
/** Reports are repeated once a second; several may be lost. */
constexpr auto told_lifetime = std::chrono::seconds{4};
/** Largest number of servers in a message, about 10 KB. */
constexpr std::size_t max_reported = 400;
/** An estimate that changes by this factor is told to operators. */
const double marked_change = std::log(1.25);

double to_confidence(double weight) {
    return weight / (weight + half_confidence);
}

/** @returns the factor as far as it exceeds the noise. It grows continuously from 1 at the limit of the noise
    to the full value at 1.5 times the limit, so that small changes of the evidence do not move much work. */
double to_factor(const speed_deviation& deviation) {
    if (deviation.weight <= 0.0) {
        return 1.0;
    }
    const double standard_error = ratio_deviation / std::sqrt(std::min(deviation.weight, max_independent));
    const double limit = std::max(min_log_factor, noise_errors * standard_error);
    const double share = std::clamp((std::abs(deviation.log_factor) - limit) / (limit / 2.0), 0.0, 1.0);
    return std::clamp(std::exp(deviation.log_factor * share), min_factor, max_factor);
}

/** Adds evidence; the factors are averaged by their weights. */
void merge(const speed_deviation& added, speed_deviation& sum) {
    const double weight = sum.weight + added.weight;
    if (added.weight > 0.0) {
        sum.log_factor = (sum.log_factor * sum.weight + added.log_factor * added.weight) / weight;
        sum.weight = weight;
    }
}

bool is_different(const speed_deviation& deviation) {
    return deviation.weight >= min_weight && std::abs(deviation.log_factor) > min_log_factor;
}

double median(std::vector<double> values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    if (values.size() % 2 == 1) {
        return *middle;
    }
    return (*middle + *std::max_element(values.begin(), middle)) / 2.0;
}

bool has_changed(double factor, double told) {
    return std::abs(std::log(factor / told)) > marked_change || (factor == 1.0 && told != 1.0);
}

} // namespace

server_speed::known_start* server_speed::find_settled(const server_name& name, const pool_name& service,
                                                      std::uint64_t started_at, time_point now) {
    const auto known = starts_.find(name);
    if (known == starts_.end() || known->second.started_at < started_at) {
        known_start start;
        start.service = service;
        start.started_at = started_at;
        start.first_response_at = now;
        starts_.insert_or_assign(name, std::move(start));
        return nullptr;
    }
    const bool is_settled =
        known->second.started_at == started_at && now - known->second.first_response_at >= settling_time;
    return is_settled ? &known->second : nullptr;
}

std::uint64_t server_speed::on_sent(const backend& server, bool is_engine, bool is_local, time_point now) {
    sent_request request;
    request.server = server.listing.name;
    request.service = server.listing.service;
    request.started_at = server.listing.started_at;
    request.is_engine = is_engine;
    request.is_local = is_local;
    request.sent_at = now;
    request.own_tokens = server.pending_tokens;
    request.own_requests = server.in_flight;
    if (sent_.size() < max_sent) {
        sent_.emplace(++last_sent_, std::move(request));
    }
    return last_sent_;
}

void server_speed::on_response(std::uint64_t sent, time_point now) {
    const auto found = sent_.find(sent);
    if (found == sent_.end() || found->second.answered_at) {
        return;
    }
    found->second.answered_at = now;
    if (found->second.expected) {
        evaluate(found->second, now);
        sent_.erase(found);
    }
}

void server_speed::sample_work(const backend_directory& directory, time_point now) {
    for (auto& [number, request] : sent_) {
        const backend* server = directory.find(request.server);
        if (request.expected || now - request.sent_at < work_delay || server == nullptr) {
            continue;
        }
        if (request.is_engine) {
            const std::uint64_t others = server->total_pending_tokens() - server->pending_tokens;
            request.expected = std::chrono::duration_cast<duration>(
                prompt_token_time * static_cast<double>(request.own_tokens + others));
        } else {
            const double requests = request.own_requests + server->total_in_flight() - server->in_flight;
            request.expected = std::chrono::duration_cast<duration>(
                plain_service_time * (1.0 + requests / std::max(1U, server->listing.slots)));
        }
        if (request.answered_at) {
            evaluate(request, now);
        }
    }
    std::erase_if(sent_, [&](const auto& entry) {
        const sent_request& request = entry.second;
        return (request.expected && request.answered_at) || now - request.sent_at > longest_wait;
    });
}

void server_speed::evaluate(const sent_request& request, time_point now) {
    known_start* start = find_settled(request.server, request.service, request.started_at, now);
    const duration least = request.is_local ? min_expected_local : min_expected_remote;
    const duration observed = *request.answered_at - request.sent_at;
    // Work that begins or ends within the delay of the reports may be counted wrongly. It matters most where
    // the observed or the expected time is short, so that these count less.
    if (start != nullptr && *request.expected >= least && observed > duration::zero()) {
        const duration shorter = std::min(observed, *request.expected);
        const double importance = std::chrono::duration<double>(shorter) / (shorter + work_delay);
        start->response.add(std::chrono::duration<double>(observed) / *request.expected, importance, now);
    }
}

void server_speed::on_stream_ended(const server_listing& server, const stream_timing& events,
                                   time_point now) {
    known_start* start = find_settled(server.name, server.service, server.started_at, now);
    const auto interval = events.mean_interval();
    if (start != nullptr && interval && *interval > duration::zero()) {
        start->event_interval.add(std::chrono::duration<double>(*interval) / engine_step, 1.0, now);
    }
}

void server_speed::on_report(speed_scope scope, const std::string& source, std::vector<speed_report> reports,
                             time_point now) {
    told_reports told;
    told.told_at = now;
    for (speed_report& report : reports) {
        const server_name name = report.server;
        told.servers.insert_or_assign(name, std::move(report));
    }
    if (scope == speed_scope::deployment) {
        deployment_ = std::move(told);
        return;
    }
    auto& sources = scope == speed_scope::gateway ? gateways_ : data_centres_;
    sources.insert_or_assign(source, std::move(told));
}

void server_speed::add_own(speed_evidence known_start::*evidence, speed_deviation speed_report::*target,
                           report_map& reports, time_point now) const {
    struct observed_server {
        const server_name* name = nullptr;
        const known_start* start = nullptr;
        speed_deviation observed;
    };
    std::map<pool_name, std::vector<observed_server>> services;
    for (const auto& [name, start] : starts_) {
        const speed_evidence& observed = start.*evidence;
        const double weight = observed.weight(now);
        if (weight >= min_weight) {
            services[start.service].push_back(
                {&name, &start, {observed.median_log(now).value_or(0), weight}});
        }
    }
    for (const auto& [service, servers] : services) {
        if (servers.size() < min_servers) {
            continue;
        }
        std::vector<double> logs;
        logs.reserve(servers.size());
        for (const observed_server& server : servers) {
            logs.push_back(server.observed.log_factor);
        }
        const double middle = median(std::move(logs));
        for (const observed_server& server : servers) {
            speed_report& report = reports[*server.name];
            report.server = *server.name;
            report.started_at = server.start->started_at;
            merge({server.observed.log_factor - middle, server.observed.weight}, report.*target);
        }
    }
}

void server_speed::add_told(const std::map<std::string, told_reports>& told, report_map& reports,
                            time_point now) {
    for (const auto& [source, list] : told) {
        if (now - list.told_at > told_lifetime) {
            continue;
        }
        for (const auto& [name, told_report] : list.servers) {
            speed_report& report = reports[name];
            if (report.server.is_empty() || report.started_at < told_report.started_at) {
                report = told_report; // The first report, or one of a later start.
            } else if (report.started_at == told_report.started_at) {
                merge(told_report.response, report.response);
                merge(told_report.event_interval, report.event_interval);
            }
        }
    }
}

server_speed::report_map server_speed::collect(speed_scope scope, time_point now) const {
    report_map reports;
    add_own(&known_start::response, &speed_report::response, reports, now);
    add_own(&known_start::event_interval, &speed_report::event_interval, reports, now);
    if (scope != speed_scope::gateway) {
        add_told(gateways_, reports, now);
    }
    if (scope == speed_scope::deployment) {
        add_told(data_centres_, reports, now);
    }
    return reports;
}

std::vector<speed_report> server_speed::reports(speed_scope scope, time_point now) const {
    std::vector<speed_report> different;
    for (auto& [name, report] : collect(scope, now)) {
        if (is_different(report.response) || is_different(report.event_interval)) {
            different.push_back(report);
        }
    }
    std::sort(different.begin(), different.end(), [](const speed_report& left, const speed_report& right) {
        return std::abs(left.response.log_factor) > std::abs(right.response.log_factor);
    });
    different.resize(std::min(different.size(), max_reported));
    return different;
}

std::vector<const backend*> server_speed::update(backend_directory& directory, time_point now) {
    std::erase_if(starts_, [&](const auto& entry) {
        const backend* server = directory.find(entry.first);
        return server == nullptr || server->listing.started_at > entry.second.started_at;
    });
    const auto is_expired = [&](const auto& entry) { return now - entry.second.told_at > told_lifetime; };
    std::erase_if(gateways_, is_expired);
    std::erase_if(data_centres_, is_expired);
    // What the holder tells includes what this gateway has reported.
    const bool is_told = now - deployment_.told_at <= told_lifetime && deployment_.told_at != time_point{};
    const report_map known = is_told ? deployment_.servers : collect(speed_scope::deployment, now);
    std::vector<const backend*> changed;
    for (const auto& [name, listed] : directory.servers()) {
        backend& server = *directory.find(name);
        const auto report = known.find(name);
        const bool is_current =
            report != known.end() && report->second.started_at == server.listing.started_at;
        server.speed = {};
        if (is_current) {
            const speed_report& current = report->second;
            server.speed = {to_factor(current.response), to_factor(current.event_interval),
                            to_confidence(current.response.weight),
                            to_confidence(current.event_interval.weight)};
        }
        const auto start = starts_.find(name);
        if (start == starts_.end()) {
            continue;
        }
        known_start& told = start->second;
        if (has_changed(server.speed.response, told.told_response) ||
            has_changed(server.speed.event_interval, told.told_event_interval)) {
            told.told_response = server.speed.response;
            told.told_event_interval = server.speed.event_interval;
            changed.push_back(&server);
        }
    }
    return changed;
}

} // namespace lovageledge
