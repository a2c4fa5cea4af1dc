#pragma once

#include "lovageledge/base/base.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace lovageledge {

/** State of an adapter in a slot, as far as the server's owner knows. */
enum class slot_state : std::uint8_t {
    loading,
    loaded,
    unloading,
    /** The response to an order was lost. No request may use the adapter until a status report that began
        later shows whether it is loaded. */
    uncertain,
};

/** A slot of a backend server that holds an adapter. */
struct slot {
    slot_state state = slot_state::loading;
    /** Requests that were admitted and have not ended. */
    std::uint32_t active_requests = 0;
    time_point last_use{};
    /** True if a former owner's requests may be using the adapter. It must not be evicted until that owner is
        drained. */
    bool is_inherited = false;
};

/**
    The adapter slots of one backend server, as far as the server's owner knows.

    The table guarantees that an adapter in use is never evicted: begin_unload() refuses an adapter that is in
    use, inherited, or not among the recorded evict intents. Not thread-safe; the owner's lock guards it.
*/
class slot_table {
public:
    /** @param capacity maximum number of adapters that are loaded at the same time */
    explicit slot_table(std::uint32_t capacity) : capacity_{capacity} {}

    /** Replaces all slots by the adapters that an engine reports. The counts of active requests start at 0.
        @param loaded adapters in the engine's slots
        @param is_inherited true if a former owner's requests may be using them */
    void reset(const std::vector<adapter_key>& loaded, bool is_inherited, time_point now);

    /** Updates the known slots from a status report of the same engine run. Adapters that the report does not
        name are removed unless they are loading or in use; uncertain ones that it names become loaded.
        @param reported adapters in the engine's slots */
    void reconcile(const std::vector<adapter_key>& reported);
    /** Adds an adapter that the engine has loaded without an order of this owner. Does nothing if the adapter
        is in the table already. @param is_inherited true if a former owner's requests may be using it */
    void add_loaded(const adapter_key& key, bool is_inherited, time_point now);

    /** @returns true if requests for the adapter may be admitted: it is loaded and not blocked */
    bool is_usable(const adapter_key& key) const;
    /** @returns the adapter's slot, or nullptr */
    const slot* find(const adapter_key& key) const;
    /** @returns true if no slot is free */
    bool is_full() const { return slots_.size() >= capacity_; }

    /** Counts a request as active. Precondition: is_usable(key). */
    void acquire(const adapter_key& key, time_point now);
    /** Ends a request that acquire() counted; does nothing if the adapter is not in the table. Precondition:
        each call follows its own acquire(). */
    void release(const adapter_key& key, time_point now);

    /** Reserves a slot for a load.
        @returns false if no slot is free, or if the adapter is blocked or in the table already */
    bool begin_load(const adapter_key& key);
    /** Ends a load; does nothing if none is under way. @param is_loaded false if the engine refused it */
    void end_load(const adapter_key& key, bool is_loaded, time_point now);

    /** Marks an adapter as being evicted.
        @returns false if it is in use, inherited, not loaded, or not among the recorded evict intents */
    bool begin_unload(const adapter_key& key);
    /** Ends an unload; does nothing if none is under way.
        @param is_unloaded false if the engine refused it */
    void end_unload(const adapter_key& key, bool is_unloaded);

    /** Marks an adapter's slot as uncertain because the response to an order was lost. */
    void set_uncertain(const adapter_key& key);

    /** Sets the evict intents: the adapters that this owner may evict, as the platform's store records them.
        @see begin_unload */
    void set_recorded_intents(std::set<adapter_key> intents) { recorded_intents_ = std::move(intents); }
    /** @returns the adapters that this owner may evict. @see set_recorded_intents */
    const std::set<adapter_key>& recorded_intents() const { return recorded_intents_; }

    /** Sets the adapters that must not be used because an eviction by a former owner or after a lost response
        may still happen. */
    void set_blocked_adapters(std::set<adapter_key> blocked_adapters) {
        blocked_adapters_ = std::move(blocked_adapters);
    }
    /** @returns the adapters that must not be used. @see set_blocked_adapters */
    const std::set<adapter_key>& blocked_adapters() const { return blocked_adapters_; }
    /** Clears is_inherited of all slots, once all former owners are drained. */
    void clear_inherited();

    /** @returns loaded adapters that are neither in use nor inherited, least recently used first. They need
        not be among the recorded evict intents. @param limit maximum number of adapters */
    std::vector<adapter_key> least_recently_used_idle(std::size_t limit) const;
    /** @returns the least recently used adapter that begin_unload() would accept and that is not in wanted */
    std::optional<adapter_key> eviction_candidate(const std::set<adapter_key>& wanted) const;
    /** @returns all adapters for which is_usable() is true, sorted */
    std::vector<adapter_key> usable() const;

private:
    bool is_evictable(const adapter_key& key, const slot& entry) const;

    std::uint32_t capacity_;
    std::unordered_map<adapter_key, slot> slots_;
    std::set<adapter_key> recorded_intents_;
    std::set<adapter_key> blocked_adapters_;
};

} // namespace lovageledge
