#pragma once

#include "lovageledge/coordination/quarantine.hpp"
#include "lovageledge/gateway/gateway_settings.hpp"
#include "lovageledge/gateway/wire_codec.hpp"
#include "lovageledge/service/decision_log.hpp"
#include "lovageledge/service/metrics.hpp"

#include <memory>

namespace lovageledge {

/**
    What the parts of one gateway share: beliefs about the outside, the policies that read them, and the means
    to tell of decisions. Used on the gateway's one thread.
*/
struct gateway_state {
    /** Crashes after which a request is refused: a lost answer looks like a crash once or twice, not more. */
    static constexpr std::uint32_t crash_limit = 3;

    gateway_state(gateway_settings given_settings, wire_codec given_codec, platform_port given_platform);

    bool is_local(const data_centre_name& data_centre) const;
    time_point now() const { return clock.now(); }

    gateway_settings settings;
    wire_codec codec;
    platform_port platform;
    /** The platform's reader of the store. */
    const store_reader& store;
    runtime_clock clock;
    decision_log log{0};
    metrics counters;

    backend_directory directory;
    /** Nothing until the first configuration has come. */
    std::shared_ptr<const route_table> routes;
    version_registry versions;
    server_selector selector;
    retry_budget retries;
    demand_meter demand;
    /** Requests that crash the servers that run them. */
    quarantine crashing{crash_limit};
    /** Set from the stop signal on: no new connections are wanted. */
    bool is_stopping = false;
    /** Streams that come later are refused as not run, during a planned stop. */
    time_point streams_until = time_point::max();
    /** The same for all requests. */
    time_point requests_until = time_point::max();
    std::uint32_t requests_in_progress = 0;
};

} // namespace lovageledge
