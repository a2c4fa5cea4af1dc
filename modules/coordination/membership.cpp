#include "lovageledge/coordination/membership.hpp"

#include <algorithm>

namespace lovageledge {
namespace {

/** An instance that the list has dropped counts as gone once the list says so for this long. */
constexpr auto list_gone_after = std::chrono::seconds{10};

} // namespace

membership::change membership::on_heartbeat(const instance_name& from, const start_id& start,
                                            const protocol::Heartbeat& heartbeat, time_point now) {
    auto [entry, is_new] = peers_.try_emplace(from);
    peer& known = entry->second;
    if (former_starts_[from].contains(start)) {
        return change::none; // A late message of an earlier start.
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
    missing_since_.erase(from);
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
            missing_since_.erase(name);
        } else {
            missing_since_.try_emplace(name, now);
        }
    }
}

std::vector<instance_name> membership::take_new_suspects(time_point now) {
    std::vector<instance_name> fresh;
    for (auto& [name, known] : peers_) {
        if (!known.is_suspected && now - known.last_heard >= settings_.suspect_after) {
            known.is_suspected = true;
            fresh.push_back(name);
        }
    }
    return fresh;
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
    const auto missing = missing_since_.find(name);
    const bool is_dropped = missing != missing_since_.end() && now - missing->second >= list_gone_after;
    return is_other_start || (is_dropped && !is_live(name));
}

std::vector<instance_name> membership::owner_candidates(const region_name& region) const {
    std::vector<instance_name> local;
    std::vector<instance_name> all;
    const auto add = [&](const instance_name& name, const region_name& where) {
        all.push_back(name);
        if (where == region) {
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
    return local.empty() ? all : local;
}

bool membership::is_watcher() const {
    std::vector<std::pair<std::uint64_t, instance_name>> here;
    here.emplace_back(rendezvous_weight("configuration", self_.name.text()), self_.name);
    for (const auto& [name, known] : peers_) {
        if (!known.is_suspected && known.data_centre == self_.data_centre) {
            here.emplace_back(rendezvous_weight("configuration", name.text()), name);
        }
    }
    std::sort(here.rbegin(), here.rend());
    here.resize(std::min<std::size_t>(here.size(), settings_.watchers_per_data_centre));
    return std::any_of(here.begin(), here.end(),
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
