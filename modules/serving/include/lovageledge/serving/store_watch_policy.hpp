#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovageledge {

/** Up to where one kind of the platform's objects has been read. */
struct store_position {
    std::string kind;
    std::uint64_t revision = 0;
};

/** Changes of one kind that one gateway has read from the platform's store for others. */
struct store_update {
    std::string kind;
    /** The changes are all that came after this revision, */
    std::uint64_t after_revision = 0;
    /** up to this one. */
    std::uint64_t revision = 0;
    /** The changes, as the platform's adapter writes and reads them. */
    std::string changes;
};

/**
    Decides whether a gateway has to watch the platform's store itself, or may rely on what the holder of its
    data centre's orders has read.

    The load pattern it answers: each call to the store is billed and its rates grow more slowly than the
    fleet. A gateway relies on the holder only while the holder is heard and can read the store, and only from
    a revision that the gateway has reached itself; otherwise it watches at once, from where it is. Not
    thread-safe.
*/
class store_watch_policy {
public:
    /** What to do with an update, given the own revision of its kind. */
    enum class update_action {
        /** It continues what is known here. Changes that were known before do no harm. */
        apply,
        /** All of it is known. */
        known,
        /** Changes before it are missing here. */
        gap,
    };

    /** @param valid how long the holder's word holds; a few of its beats */
    explicit store_watch_policy(duration valid) : valid_{valid} {}

    /** The holder told up to where it has read; nothing if it can't read the store. */
    void on_positions(const std::vector<store_position>& positions, time_point now);
    /** The holder is not relied on any more. */
    void clear_positions() { positions_.clear(); }

    /** @param revision up to where this gateway has read the kind
        @returns until when no watch of the kind is needed, or nothing if it is needed now */
    std::optional<time_point> covered_until(const std::string& kind, std::uint64_t revision,
                                            time_point now) const;
    /** Judges an update. Thread-safe. */
    static update_action action_for(const store_update& update, std::uint64_t revision);

private:
    duration valid_;
    time_point told_{};
    std::map<std::string, std::uint64_t> positions_;
};

} // namespace lovageledge
