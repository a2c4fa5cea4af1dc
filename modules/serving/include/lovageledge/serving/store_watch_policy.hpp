#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovageledge {

/** The revision up to which one kind of the platform's objects has been read. */
struct store_position {
    std::string kind;
    std::uint64_t revision = 0;
};

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
    than the number of gateways. A gateway relies on the holder only while it hears from the holder, the
    holder can read the store, and the gateway itself has reached the holder's revision. Otherwise it starts
    a watch at once, from its own revision. Not thread-safe.
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

    /** @param validity how long the holder's positions are valid; a few intervals of its messages */
    explicit store_watch_policy(duration validity) : validity_{validity} {}

    /** Processes the positions up to which the holder has read; empty if it can't read the store. */
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
    duration validity_;
    time_point received_at_{};
    std::map<std::string, std::uint64_t> positions_;
};

} // namespace lovageledge
