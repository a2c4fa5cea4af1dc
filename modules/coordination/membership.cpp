#include "lovageledge/coordination/membership.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lovageledge {
namespace {

/** @returns a text field, empty if it is missing; nothing if it has another type */
std::optional<std::string> text_field(const nlohmann::json& entry, const char* name) {
    const auto value = entry.find(name);
    if (value == entry.end()) {
        return std::string{};
    }
    return value->is_string() ? std::optional{value->get<std::string>()} : std::nullopt;
}

/** An instance that sends no heartbeats counts as terminated once it has been missing from the platform's
    list for this long. */
constexpr auto unlisted_limit = std::chrono::seconds{10};

} // namespace

std::optional<std::vector<listed_instance>> parse_instance_list(const std::string& text) {
    const auto entries = nlohmann::json::parse(text, nullptr, false);
    if (!entries.is_array()) {
        return std::nullopt;
    }
    std::vector<listed_instance> list;
    for (const auto& entry : entries) {
        if (!entry.is_object()) {
            continue;
        }
        const auto name = text_field(entry, "name");
        const auto address = text_field(entry, "address");
        const auto state = text_field(entry, "state");
        const auto kind = text_field(entry, "kind");
        if (name && address && state && kind) {
            list.push_back({*name, *address, *state == "leaving", *kind == "backend"});
        }
    }
    return list;
}

membership::change membership::on_heartbeat(const instance_name& from, const start_id& start,
                                            const protocol::Heartbeat& heartbeat, time_point now) {
    auto [entry, is_new] = peers_.try_emplace(from);
    peer& known = entry->second;
    if (former_starts_[from].contains(start)) {
        return change::none; // A delayed message from an earlier start.
    }
    const bool is_restart = !is_new && known.start != start;
    if (is_restart) {
        former_starts_[from].insert(known.start);
    }
    const bool was_suspected = known.is_suspected;
    known.start = start;
    known.address = heartbeat.address();
    known.region = region_name{heartbeat.region()};
    known.data_centre = data_centre_name{heartbeat.data_centre()};
    known.revision = heartbeat.revision();
    known.is_draining = heartbeat.draining();
    known.is_suspected = false;
    known.last_heard = now;
    known.suspects.clear();
    for (const std::string& suspect : heartbeat.suspects()) {
        known.suspects.insert(instance_name{suspect});
    }
    unlisted_since_.erase(from);
    if (is_new) {
        return change::joined;
    }
    if (is_restart) {
        return change::restarted;
    }
    return was_suspected ? change::returned : change::none;
}

void membership::on_list(const std::vector<listed_instance>& list, time_point now) {
    std::set<instance_name> listed;
    for (const listed_instance& entry : list) {
        if (!entry.is_backend) {
            listed.insert(instance_name{entry.name});
        }
    }
    for (const auto& [name, known] : peers_) {
        if (listed.contains(name)) {
            unlisted_since_.erase(name);
        } else {
            unlisted_since_.try_emplace(name, now);
        }
    }
}

std::vector<instance_name> membership::suspect_silent_peers(time_point now) {
    std::vector<instance_name> new_suspects;
    for (auto& [name, known] : peers_) {
        if (!known.is_suspected && now - known.last_heard >= settings_.suspect_after) {
            known.is_suspected = true;
            new_suspects.push_back(name);
        }
    }
    return new_suspects;
}

bool membership::is_live(const instance_name& name) const {
    if (name == self_.name) {
        return true;
    }
    const auto entry = peers_.find(name);
    return entry != peers_.end() && !entry->second.is_suspected;
}

bool membership::is_suspected_by_majority(const instance_name& name) const {
    if (name == self_.name || is_live(name)) {
        return false;
    }
    std::size_t voters = 1;
    std::size_t votes = 1;
    for (const auto& [peer_name, known] : peers_) {
        if (peer_name == name || known.is_suspected) {
            continue;
        }
        ++voters;
        votes += known.suspects.contains(name) ? 1 : 0;
    }
    return votes * 2 > voters;
}

bool membership::has_terminated(const instance_name& name, const start_id& start, time_point now) const {
    if (name == self_.name) {
        return start != self_.start;
    }
    const auto former = former_starts_.find(name);
    if (former != former_starts_.end() && former->second.contains(start)) {
        return true;
    }
    const auto entry = peers_.find(name);
    const bool is_other_start = entry != peers_.end() && entry->second.start != start;
    const auto unlisted = unlisted_since_.find(name);
    const bool is_unlisted = unlisted != unlisted_since_.end() && now - unlisted->second >= unlisted_limit;
    return is_other_start || (is_unlisted && !is_live(name));
}

std::vector<instance_name> membership::owner_candidates(const region_name& region) const {
    std::vector<instance_name> local;
    std::vector<instance_name> anywhere;
    const auto add = [&](const instance_name& name, const region_name& candidate_region) {
        anywhere.push_back(name);
        if (candidate_region == region) {
            local.push_back(name);
        }
    };
    if (!is_draining_) {
        add(self_.name, self_.region);
    }
    for (const auto& [name, known] : peers_) {
        if (!known.is_suspected && !known.is_draining) {
            add(name, known.region);
        }
    }
    return local.empty() ? anywhere : local;
}

bool membership::is_configuration_watcher() const {
    std::vector<std::pair<std::uint64_t, instance_name>> ranked;
    ranked.emplace_back(rendezvous_weight("configuration", self_.name.text()), self_.name);
    for (const auto& [name, known] : peers_) {
        if (!known.is_suspected && known.data_centre == self_.data_centre) {
            ranked.emplace_back(rendezvous_weight("configuration", name.text()), name);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    ranked.resize(std::min<std::size_t>(ranked.size(), settings_.watchers_per_data_centre));
    return std::any_of(ranked.begin(), ranked.end(),
                       [&](const auto& entry) { return entry.second == self_.name; });
}

instance_name membership::budget_holder() const {
    instance_name best = self_.name;
    std::uint64_t best_weight = is_draining_ ? 0 : rendezvous_weight("load-budget", self_.name.text());
    for (const auto& [name, known] : peers_) {
        const std::uint64_t weight = rendezvous_weight("load-budget", name.text());
        if (!known.is_suspected && !known.is_draining && weight > best_weight) {
            best = name;
            best_weight = weight;
        }
    }
    return best;
}

std::vector<instance_name> membership::suspects() const {
    std::vector<instance_name> names;
    for (const auto& [name, known] : peers_) {
        if (known.is_suspected) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace lovageledge
