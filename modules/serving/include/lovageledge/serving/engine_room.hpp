#pragma once

#include "lovageledge/serving/backend_directory.hpp"

#include <cstdint>
#include <deque>
#include <map>

namespace lovageledge {

/** How much all gateways together may have sent to an engine. */
struct engine_bounds {
    /** Requests that the engine runs at once; 0 if unknown. */
    std::uint32_t slots = 0;
    /** Tokens in the engine's memory; 0 if unknown. */
    std::uint64_t memory_tokens = 0;
    /** Prompt tokens that may wait to be prefilled. */
    double unread_tokens = 0.0;
    /** Prompt tokens that the engine prefills per millisecond. */
    double tokens_per_ms = 0.0;
};

/** What a request takes up on an engine. */
struct request_size {
    /** Prompt tokens that the engine has to prefill. */
    std::uint64_t unread_tokens = 0;
    /** Prompt tokens and maximum output tokens. */
    std::uint64_t memory_tokens = 0;
};

/** Tokens that wait for room on one engine at this gateway. */
struct waiting_share {
    /** Rank of the request that asks for room. */
    std::size_t rank = 0;
    /** Tokens of this gateway's requests of that rank that wait for the engine, including the asking one's.
     */
    std::uint64_t waiting_tokens = 0;
};

/**
    Decides whether a request may be sent to an engine now, so that few requests wait in the engine's queue,
    where they can't be reordered, and so that the engine's memory suffices.

    Gateways learn of each other's requests up to 400 ms late. Each therefore adds at most its share of the
    room within that time: the room times its part of the wanted tokens, after the room that more important
    requests elsewhere want. Wanted are the tokens that wait for the engine or were sent to it within that
    time, so that the share is no limit while all of them fit. A share smaller than a request is rounded up or
    down by a hash of gateway, engine and period, so that the sum over all gateways is about the room. A
    gateway that hears no reports keeps to an equal share of the bounds. Not thread-safe.
*/
class engine_room {
public:
    /** Upper bound for the age of what is known of other gateways' requests. */
    static constexpr duration report_lag = std::chrono::milliseconds{400};
    /** Without any report for this long, several report intervals, the gateway counts as out of contact. */
    static constexpr duration contact_limit = std::chrono::milliseconds{600};
    /** Part of an engine's memory that is not filled, since gateways decide on delayed reports. */
    static constexpr double memory_reserve = 0.05;

    /** @param gateway distinguishes the gateways' rounding */
    explicit engine_room(const instance_name& gateway) : gateway_hash_{stable_hash(gateway.text())} {}

    /** Sets the number of gateways, including this one. */
    void set_gateways(std::size_t count) { gateways_ = count; }
    /** Records that other gateways have reported their work. */
    void on_reports(time_point now) { last_reports_ = now; }

    /** @returns true if the request may be sent to the engine now */
    bool has_room(const backend& engine, const engine_bounds& bounds, const request_size& size,
                  const waiting_share& waiting, time_point now) const;
    /** Records that this gateway has sent a request to an engine. */
    void on_sent(const server_name& engine, const request_size& size, std::size_t rank, time_point now);
    /** @returns the prompt tokens by rank that this gateway has sent to an engine within the reports' lag */
    tokens_by_rank sent_tokens(const server_name& engine, time_point now) const;
    /** Learns from a request that an engine has completed.
        @param run_time from sending the request to the end of the response */
    void on_completed(const request_size& size, duration run_time);

    /** Estimates when there will be room for a request.
        @param unread_ahead waiting prompt tokens that go to the engine before the request */
    duration expected_wait(const backend& engine, const engine_bounds& bounds, const request_size& size,
                           std::uint64_t unread_ahead) const;
    /** @returns the expected time from sending the request to its first event */
    static duration expected_reading(const backend& engine, const engine_bounds& bounds,
                                     const request_size& size);

private:
    /** One of the quantities that are bounded. */
    struct quantity {
        double limit = 0.0;
        /** By all gateways as known. */
        double used = 0.0;
        /** Part of used that belongs to this gateway. */
        double own = 0.0;
        /** Sent by this gateway within the reports' lag. */
        double sent = 0.0;
        double size = 0.0;
        /** Amount that corresponds to one waiting prompt token, on average. */
        double per_token = 1.0;
        /** The request itself must fit; otherwise the limit may be passed by the last request. */
        bool must_fit = false;
        /** Taken up for as long as a request runs, not only until its first event. */
        bool is_held = false;

        bool is_free() const { return must_fit ? used + size <= limit : used < limit; }
    };
    struct sent_request {
        time_point time{};
        std::size_t rank = 0;
        request_size size;
    };

    /** @returns a pseudo-random number from 0 to 1 that changes with each period */
    double rounding(const backend& engine, duration period, time_point now) const;
    bool is_out_of_contact(time_point now) const {
        return gateways_ > 1 && now - last_reports_ > contact_limit;
    }

    std::uint64_t gateway_hash_;
    std::size_t gateways_ = 1;
    time_point last_reports_{};
    std::map<server_name, std::deque<sent_request>> sent_;
    /** Averages over completed requests; the values before the first ones are those of common requests. */
    double mean_run_ms_ = 1500.0;
    double mean_unread_tokens_ = 1000.0;
    double mean_memory_tokens_ = 1200.0;
    /** Memory tokens times the time for which they were taken up; large requests run longer. */
    double mean_memory_use_ = mean_memory_tokens_ * mean_run_ms_;
};

} // namespace lovageledge
