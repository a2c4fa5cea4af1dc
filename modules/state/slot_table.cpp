#include "lovageledge/state/slot_table.hpp"

#include <algorithm>
#include <cassert>

namespace lovageledge {

void slot_table::reset(const std::vector<adapter_key>& loaded, bool is_inherited, time_point now) {
    slots_.clear();
    for (const adapter_key& key : loaded) {
        slots_.emplace(key, slot{slot_state::loaded, 0, now, is_inherited});
    }
}

void slot_table::reconcile(const std::vector<adapter_key>& reported) {
    const std::set<adapter_key> names{reported.begin(), reported.end()};
    for (auto entry = slots_.begin(); entry != slots_.end();) {
        const bool is_settled =
            entry->second.state != slot_state::loading && entry->second.active_requests == 0;
        if (is_settled && !names.contains(entry->first)) {
            entry = slots_.erase(entry);
            continue;
        }
        if (entry->second.state == slot_state::uncertain && names.contains(entry->first)) {
            entry->second.state = slot_state::loaded;
        }
        ++entry;
    }
}

void slot_table::add_loaded(const adapter_key& key, bool is_inherited, time_point now) {
    slots_.try_emplace(key, slot{slot_state::loaded, 0, now, is_inherited});
}

bool slot_table::is_usable(const adapter_key& key) const {
    const slot* entry = find(key);
    return entry != nullptr && entry->state == slot_state::loaded && !poisoned_.contains(key);
}

const slot* slot_table::find(const adapter_key& key) const {
    const auto entry = slots_.find(key);
    return entry == slots_.end() ? nullptr : &entry->second;
}

void slot_table::acquire(const adapter_key& key, time_point now) {
    assert(is_usable(key));
    slot& entry = slots_.at(key);
    ++entry.active_requests;
    entry.last_use = now;
}

void slot_table::release(const adapter_key& key, time_point now) {
    const auto entry = slots_.find(key);
    if (entry == slots_.end()) {
        return; // The engine restarted meanwhile.
    }
    assert(entry->second.active_requests > 0);
    --entry->second.active_requests;
    entry->second.last_use = now;
}

bool slot_table::begin_load(const adapter_key& key) {
    if (is_full() || slots_.contains(key) || poisoned_.contains(key)) {
        return false;
    }
    slots_.emplace(key, slot{});
    return true;
}

void slot_table::end_load(const adapter_key& key, bool is_loaded, time_point now) {
    const auto entry = slots_.find(key);
    if (entry == slots_.end() || entry->second.state != slot_state::loading) {
        return;
    }
    if (!is_loaded) {
        slots_.erase(entry);
        return;
    }
    entry->second.state = slot_state::loaded;
    entry->second.last_use = now;
}

bool slot_table::is_evictable(const adapter_key& key, const slot& entry) const {
    return entry.state == slot_state::loaded && entry.active_requests == 0 && !entry.is_inherited &&
           recorded_intents_.contains(key);
}

bool slot_table::begin_unload(const adapter_key& key) {
    const auto entry = slots_.find(key);
    if (entry == slots_.end() || !is_evictable(key, entry->second)) {
        return false;
    }
    entry->second.state = slot_state::unloading;
    return true;
}

void slot_table::end_unload(const adapter_key& key, bool is_unloaded) {
    const auto entry = slots_.find(key);
    if (entry == slots_.end() || entry->second.state != slot_state::unloading) {
        return;
    }
    if (is_unloaded) {
        slots_.erase(entry);
        return;
    }
    entry->second.state = slot_state::loaded;
}

void slot_table::set_uncertain(const adapter_key& key) {
    const auto entry = slots_.find(key);
    if (entry != slots_.end()) {
        entry->second.state = slot_state::uncertain;
    }
}

void slot_table::clear_inherited() {
    for (auto& [key, entry] : slots_) {
        entry.is_inherited = false;
    }
}

std::vector<adapter_key> slot_table::least_recently_used_idle(std::size_t limit) const {
    std::vector<std::pair<time_point, adapter_key>> idle;
    for (const auto& [key, entry] : slots_) {
        if (entry.state == slot_state::loaded && entry.active_requests == 0 && !entry.is_inherited) {
            idle.emplace_back(entry.last_use, key);
        }
    }
    std::sort(idle.begin(), idle.end());
    idle.resize(std::min(idle.size(), limit));
    std::vector<adapter_key> keys;
    keys.reserve(idle.size());
    for (auto& [last_use, key] : idle) {
        keys.push_back(std::move(key));
    }
    return keys;
}

std::optional<adapter_key> slot_table::eviction_candidate(const std::set<adapter_key>& wanted) const {
    const adapter_key* best = nullptr;
    time_point best_use = time_point::max();
    for (const adapter_key& key : recorded_intents_) {
        const slot* entry = find(key);
        const bool is_candidate = entry != nullptr && is_evictable(key, *entry) && !wanted.contains(key);
        if (is_candidate && entry->last_use < best_use) {
            best = &key;
            best_use = entry->last_use;
        }
    }
    return best == nullptr ? std::nullopt : std::make_optional(*best);
}

std::vector<adapter_key> slot_table::usable() const {
    std::vector<adapter_key> keys;
    for (const auto& [key, entry] : slots_) {
        if (is_usable(key)) {
            keys.push_back(key);
        }
    }
    std::sort(keys.begin(), keys.end());
    return keys;
}

} // namespace lovageledge
