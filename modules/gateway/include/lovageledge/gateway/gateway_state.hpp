#pragma once

#include "lovageledge/gateway/gateway_settings.hpp"
#include "lovageledge/gateway/request_scheduler.hpp"
#include "lovageledge/gateway/unanswered_requests.hpp"
#include "lovageledge/gateway/wire_codec.hpp"
#include "lovageledge/service/decision_log.hpp"
#include "lovageledge/service/metrics.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lovageledge {

/**
    State shared by the components of one gateway: settings, the known servers and routes, selection policies,
    log and metrics. Must only be used on the gateway's thread.
*/
struct gateway_state {
    /** Servers that may end under a request before it is refused. */
    static constexpr std::uint32_t crash_limit = 3;

    gateway_state(gateway_settings given_settings, wire_codec given_codec, platform_port given_platform);

    /** @returns true if a data centre is in this gateway's region */
    bool is_local(const data_centre_name& data_centre) const;
    /** Counts a connection that was closed for the sake of others, and logs how many were. */
    void on_connection_closed(const char* cause);
    time_point now() const { return clock.now(); }
    /** @returns the time, including that for which the machine was suspended */
    time_point now_with_suspension() const { return clock.now_with_suspension(); }
    /** Sets the number of registered gateways, including this one. */
    void set_instances(std::size_t count);
    /** Updates the metrics of the usage caps, and logs which have stopped refusing. Called several times a
        second. */
    void report_caps();
    /** @returns true if this gateway knows enough to serve requests */
    bool may_serve() const { return routes && (has_read_records || now() >= serves_without_records_from); }

    gateway_settings settings;
    /** The memory of all messages that are being received or forwarded. */
    std::shared_ptr<memory_budget> memory;
    wire_codec codec;
    platform_port platform;
    /** The platform's store reader; refers to platform.store. */
    const store_reader& store;
    runtime_clock clock;
    decision_log log{0};
    metrics counters;
    unanswered_requests unanswered{log, counters};

    backend_directory directory;
    /** nullptr until the first configuration is received. */
    std::shared_ptr<const route_table> routes;
    version_registry versions;
    server_selector selector;
    server_speed speeds;
    server_pace pace;
    /** Requests that wait for room on an engine. */
    request_scheduler scheduler{*this};
    retry_budget retries;
    demand_meter demand;
    /** Usage caps of the client accounts. Their time points are those of now_with_suspension(). */
    usage_caps caps;
    /** Requests that crash the servers that run them. */
    crash_registry crashes{crash_limit};
    request_admission admission{crashes, caps};
    /** The gateways' records have been read, and with them the requests that are refused. */
    bool has_read_records = false;
    /** From then on, requests are served also if the records can't be read. */
    time_point serves_without_records_from{};
    /** True from the stop signal on: every connection is closed after its current response. */
    bool is_stopping = false;
    /** During a graceful shutdown, requests that arrive later are refused as not run if they may take longer
        than the process runs. */
    time_point accept_all_until = time_point::max();
    /** During a graceful shutdown, when all requests must have a response. */
    time_point answer_until = time_point::max();
    std::uint32_t requests_in_progress = 0;

    /** @returns true unless removed keys must be refused within a time limit, and the configuration has not
        been read for that long. Logs when that changes. */
    bool are_keys_current();

private:
    /** False while requests are refused because the keys may be outdated. */
    bool were_keys_current_ = true;

    void on_given_up(memory_use use, std::size_t bytes);

    /** Closed connections by cause since they were last logged, and when that was. */
    std::map<std::string, std::uint64_t> unlogged_closed_;
    std::optional<time_point> closed_logged_at_;
};

} // namespace lovageledge
