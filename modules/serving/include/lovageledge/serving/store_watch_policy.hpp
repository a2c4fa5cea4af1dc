#pragma once

#include "lovageledge/base/base.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovageledge {

/** The revision up to which one kind of the platform's objects has been read. */
struct store_position {
    std::string kind;
    std::uint64_t revision = 0;
    /** Time since the store confirmed that there was no newer change of this kind. */
    duration age{};
};

/** Time limits of a watch of one kind of objects. */
struct watch_timing {
    /** Longest wait for a change. */
    std::chrono::milliseconds wait{3000};
    /** How long the response may take beyond the wait, before the connection is taken for dead. */
    std::chrono::milliseconds margin{1200};
};

/** How the reading of one kind of objects is kept recent enough. */
struct reading_limits {
    /** Time within which a change must be known to this gateway, whatever happens to one connection. */
    duration change_limit = std::chrono::milliseconds{4000};
    /** Pause between two watches. */
    duration pause{};
    /** Longest pause after a failed watch. */
    duration failure_pause = std::chrono::milliseconds{300};
};

/** @returns time limits with which a dead connection is noticed, and the change read on a new one, within the
    change limit; the defaults if they are short enough for that. Thread-safe. */
watch_timing choose_watch_timing(const reading_limits& limits);

/** @returns the age up to which a holder's reading of a kind replaces an own watch, so that there is time for
    an own reading within the change limit. Thread-safe. */
duration max_relied_age(duration change_limit);

/** Changes of one kind of objects, read from the platform's store by one gateway on behalf of others. */
struct store_update {
    std::string kind;
    /** The update contains all changes after after_revision, up to and including revision. */
    std::uint64_t after_revision = 0;
    std::uint64_t revision = 0;
    /** The changes in the encoding of the platform's integration. */
    std::string changes;
};

/**
    Decides whether a gateway has to watch the platform's store itself, or can rely on the updates of the
    holder, the gateway that sends the orders to the servers of its data centre.

    This limits the number of store calls: each one is billed, and the store's rate limits grow more slowly
    than the number of gateways. A gateway relies on the holder for a kind only while it hears from the
    holder, the store has confirmed the holder's reading of that kind recently, and the gateway itself has
    reached the holder's revision. Otherwise it starts a watch at once, from its own revision. Times are those
    of a clock that also runs while the machine is suspended. Not thread-safe.
*/
class store_watch_policy {
public:
    /** What to do with an update. */
    enum class update_action {
        /** The update continues from the gateway's revision. Reapplying known changes is harmless. */
        apply,
        /** All changes of the update are already known. */
        skip,
        /** Changes before the update are missing; they have to be read from the store. */
        resync,
    };

    /** @param validity how long the holder's positions are valid; a few intervals of its messages
        @param max_age returns the age up to which a reading of a kind is relied on */
    explicit store_watch_policy(
        duration validity,
        std::function<duration(const std::string& kind)> max_age =
            [](const std::string&) { return max_relied_age(reading_limits{}.change_limit); })
        : validity_{validity}, max_age_{std::move(max_age)} {}

    /** Processes the positions up to which the holder has read, without the kinds that it can't read.
        @param positions their ages include the time that the message was on its way */
    void on_positions(const std::vector<store_position>& positions, time_point now);
    /** Discards the holder's positions, so that this gateway watches the store itself. */
    void clear_positions() { positions_.clear(); }

    /** @param revision the revision up to which this gateway knows the kind
        @returns the time until which no watch of the kind is needed, or nothing if one is needed now */
    std::optional<time_point> covered_until(const std::string& kind, std::uint64_t revision,
                                            time_point now) const;
    /** As covered_until(), but also gives the holder some time to announce itself after a kind was listed, so
        that the gateways that start together do not all watch the store.
        @param listed_at when the kind was listed; unset if it must be watched until it is covered */
    std::optional<time_point> suspended_until(const std::string& kind, std::uint64_t revision,
                                              std::optional<time_point> listed_at, time_point now) const;
    /** @param revision the revision up to which this gateway knows the update's kind
        @returns what to do with the update. Thread-safe. */
    static update_action action_for(const store_update& update, std::uint64_t revision);

private:
    struct holder_reading {
        std::uint64_t revision = 0;
        /** Until when the reading replaces an own watch. */
        time_point valid_until{};
    };
    /** @returns the holder's reading of a kind, or nullptr if it is too old */
    const holder_reading* find_valid(const std::string& kind, time_point now) const;

    duration validity_;
    std::function<duration(const std::string&)> max_age_;
    std::map<std::string, holder_reading> positions_;
};

} // namespace lovageledge
