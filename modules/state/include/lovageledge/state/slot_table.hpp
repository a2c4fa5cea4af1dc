#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace lovageledge {

/** What the owner knows of an adapter in a slot. */
enum class slot_state : std::uint8_t {
    loading,
    loaded,
    unloading,
    /** An order's answer was lost; nothing may run there until a status that began later tells. */
    uncertain,
};

/** One adapter on a backend server. */
struct slot {
    slot_state state = slot_state::loading;
    /** Requests admitted and not yet ended. */
    std::uint32_t active_requests = 0;
    time_point last_use{};
    /** True if a former owner may be using the adapter: it is never evicted while that holder is not drained.
     */
    bool is_inherited = false;
};

/**
    The slots of one backend server, as its owner believes them to be.

    It keeps the promise that an adapter in use is never evicted: begin_unload() refuses an adapter that is
    used, inherited, or not among the recorded evict intents. Not thread-safe; its owner's lock guards it.
*/
class slot_table {
public:
    /** @param capacity adapters that fit at the same time */
    explicit slot_table(std::uint32_t capacity) : capacity_{capacity} {}

    /** Forgets all slots and takes over what an engine reports. Uses are cleared.
        @param loaded adapters in the engine's slots
        @param is_inherited true if a former owner may be using them */
    void reset(const std::vector<adapter_key>& loaded, bool is_inherited, time_point now);

    /** Settles the known slots by a status report of the same engine start: slots that it does not name are
        free, uncertain ones that it names are loaded. @param reported adapters in the engine's slots */
    void reconcile(const std::vector<adapter_key>& reported);
    /** Adds an adapter that the engine holds without an order of this owner.
        @param is_inherited true if a former owner may be using it */
    void add_loaded(const adapter_key& key, bool is_inherited, time_point now);

    /** @returns true if requests for the adapter may be admitted: loaded, and not poisoned */
    bool is_usable(const adapter_key& key) const;
    /** @returns the adapter's slot, or nullptr */
    const slot* find(const adapter_key& key) const;
    /** @returns true if no slot is free */
    bool is_full() const { return slots_.size() >= capacity_; }

    /** Counts a use. Precondition: is_usable(key). */
    void acquire(const adapter_key& key, time_point now);
    /** Ends a use. Precondition: acquire() came before. */
    void release(const adapter_key& key, time_point now);

    /** Reserves a slot for a load. @returns false if full, present or poisoned */
    bool begin_load(const adapter_key& key);
    /** Ends a load. @param is_loaded false if the engine refused it */
    void end_load(const adapter_key& key, bool is_loaded, time_point now);

    /** Marks an adapter as being evicted.
        @returns false if it is used, inherited, not loaded or not among the recorded intents */
    bool begin_unload(const adapter_key& key);
    /** Ends an unload that the engine confirmed (true) or refused (false). */
    void end_unload(const adapter_key& key, bool is_unloaded);

    /** Marks a slot whose order got no answer. */
    void set_uncertain(const adapter_key& key);

    /** Sets the adapters that this owner may evict; they stand in the platform's record. */
    void set_recorded_intents(std::set<adapter_key> intents) { recorded_intents_ = std::move(intents); }
    /** @returns the adapters that this owner may evict */
    const std::set<adapter_key>& recorded_intents() const { return recorded_intents_; }

    /** Sets the adapters that former owners may still evict; they are never used here. */
    void set_blocked_adapters(std::set<adapter_key> blocked_adapters) {
        poisoned_ = std::move(blocked_adapters);
    }
    /** @returns the adapters that must not be used here */
    const std::set<adapter_key>& blocked_adapters() const { return poisoned_; }
    /** Clears the inherited marks, once all former owners are drained. */
    void clear_inherited();

    /** @returns idle, evictable-by-state adapters from least to most recently used. @param limit how many */
    std::vector<adapter_key> least_recently_used_idle(std::size_t limit) const;
    /** @returns the least recently used adapter that begin_unload() would accept, outside the given set */
    std::optional<adapter_key> eviction_candidate(const std::set<adapter_key>& wanted) const;
    /** @returns all adapters that may be used, sorted */
    std::vector<adapter_key> usable() const;

private:
    bool is_evictable(const adapter_key& key, const slot& entry) const;

    std::uint32_t capacity_;
    std::unordered_map<adapter_key, slot> slots_;
    std::set<adapter_key> recorded_intents_;
    std::set<adapter_key> poisoned_;
};

} // namespace lovageledge
