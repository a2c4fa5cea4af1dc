#include "lovageledge/transport/caller_connections.hpp"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace lovageledge {
namespace {

/** A caller that has not taken a part of a response for this long counts as slow. Others take theirs within
    a round trip. */
constexpr auto slow_reader_age = std::chrono::milliseconds{500};

int rank_of(connection_stage stage) {
    switch (stage) {
    case connection_stage::silent:
    case connection_stage::receiving:
        return 0;
    case connection_stage::kept:
        return 1;
    case connection_stage::delivering:
    case connection_stage::sending:
    case connection_stage::serving:
        break;
    }
    return 2;
}

bool waits_for_request(connection_stage stage) {
    return stage == connection_stage::silent || stage == connection_stage::kept ||
           stage == connection_stage::delivering;
}

} // namespace

bool caller_connections::candidate::operator<(const candidate& other) const {
    return std::tie(rank, since, id) < std::tie(other.rank, other.since, other.id);
}

caller_connections::candidate caller_connections::make_candidate(connection_id id, const entry& connection) {
    return {rank_of(connection.stage), connection.since, id};
}

bool caller_connections::is_being_taken(const entry& connection, time_point now) {
    const bool is_under_way =
        connection.stage == connection_stage::sending || connection.stage == connection_stage::delivering;
    return is_under_way && now - connection.since < slow_reader_age;
}

void caller_connections::add_candidate(connection_id id, const entry& connection) {
    if (connection.leaving != departure::none) {
        return;
    }
    idle_ += waits_for_request(connection.stage) ? 1 : 0;
    if (connection.stage != connection_stage::serving) {
        candidates_.insert(make_candidate(id, connection));
    }
}

void caller_connections::remove_candidate(connection_id id, const entry& connection) {
    if (connection.leaving != departure::none) {
        return;
    }
    idle_ -= waits_for_request(connection.stage) ? 1 : 0;
    if (connection.stage != connection_stage::serving) {
        candidates_.erase(make_candidate(id, connection));
    }
}

void caller_connections::open(connection_id id, const std::string& address, time_point now) {
    const auto usage = addresses_.try_emplace(address).first;
    ++usage->second.connections;
    const entry& added = connections_.try_emplace(id, entry{&usage->first, {}, now}).first->second;
    add_candidate(id, added);
}

void caller_connections::close(connection_id id) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    remove_candidate(id, found->second);
    leaving_ -= found->second.leaving == departure::none ? 0 : 1;
    const auto usage = addresses_.find(*found->second.address);
    usage->second.held -= found->second.held;
    if (--usage->second.connections == 0) {
        addresses_.erase(usage);
    }
    connections_.erase(found);
}

void caller_connections::set_departure(connection_id id, entry& connection, departure value) {
    remove_candidate(id, connection);
    leaving_ -= connection.leaving == departure::none ? 0 : 1;
    connection.leaving = value;
    leaving_ += value == departure::none ? 0 : 1;
    add_candidate(id, connection);
}

void caller_connections::ask_to_leave(connection_id id) {
    const auto found = connections_.find(id);
    if (found != connections_.end() && found->second.leaving == departure::none) {
        set_departure(id, found->second, departure::asked);
    }
}

bool caller_connections::confirm_leaving(connection_id id, bool has_unsent, time_point now) {
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.leaving != departure::asked) {
        return false;
    }
    entry& connection = found->second;
    if (connection.stage == connection_stage::kept && has_unsent) {
        // Those that wait and have taken their response go first.
        connection.stage = connection_stage::delivering;
        set_departure(id, connection, departure::none);
        return false;
    }
    const bool has_taken = connection.stage == connection_stage::delivering && !has_unsent;
    const bool may_leave = has_taken || !is_being_taken(connection, now);
    set_departure(id, connection, may_leave ? departure::decided : departure::none);
    return may_leave;
}

void caller_connections::leave(connection_id id) {
    const auto found = connections_.find(id);
    if (found != connections_.end()) {
        set_departure(id, found->second, departure::decided);
    }
}

void caller_connections::stay(connection_id id, time_point now) {
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.leaving == departure::none) {
        return;
    }
    found->second.since = now;
    set_departure(id, found->second, departure::none);
}

void caller_connections::set_stage(connection_id id, connection_stage stage, time_point now) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    entry& connection = found->second;
    if (connection.leaving == departure::asked) {
        set_departure(id, connection, departure::none);
    }
    remove_candidate(id, connection);
    connection.stage = stage;
    connection.since = now;
    add_candidate(id, connection);
}

void caller_connections::set_held(connection_id id, std::size_t bytes) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    entry& connection = found->second;
    addresses_.at(*connection.address).held += bytes - connection.held;
    connection.held = bytes;
}

bool caller_connections::is_idle(connection_id id) const {
    const auto found = connections_.find(id);
    return found != connections_.end() && found->second.leaving == departure::none &&
           waits_for_request(found->second.stage);
}

bool caller_connections::exceeds_share_of_places(const address_usage& usage) const {
    return addresses_.size() > 1 &&
           static_cast<double>(usage.connections) >= limits_.address_share * limits_.connections;
}

bool caller_connections::exceeds_share(const address_usage& usage) const {
    const double memory_share = limits_.address_share * static_cast<double>(limits_.memory);
    return exceeds_share_of_places(usage) ||
           (addresses_.size() > 1 && static_cast<double>(usage.held) >= memory_share);
}

const std::string* caller_connections::find_excessive() const {
    const auto found = std::find_if(addresses_.begin(), addresses_.end(),
                                    [&](const auto& item) { return exceeds_share(item.second); });
    return found == addresses_.end() ? nullptr : &found->first;
}

bool caller_connections::is_full_for(const std::string& address) const {
    const auto usage = addresses_.find(address);
    return connections_.size() >= limits_.connections ||
           (usage != addresses_.end() && exceeds_share(usage->second));
}

bool caller_connections::is_out_of_places_for(const std::string& address) const {
    const auto usage = addresses_.find(address);
    return connections_.size() >= limits_.connections ||
           (usage != addresses_.end() && exceeds_share_of_places(usage->second));
}

std::optional<caller_connections::connection_id> caller_connections::choose(const std::string* address,
                                                                            time_point now) const {
    for (const candidate& oldest : candidates_) {
        const entry& connection = connections_.at(oldest.id);
        if (!is_being_taken(connection, now) && (address == nullptr || *connection.address == *address)) {
            return oldest.id;
        }
    }
    return std::nullopt;
}

std::optional<caller_connections::connection_id>
caller_connections::choose_for_connection(const std::string& address, time_point now) const {
    const auto own = addresses_.find(address);
    if (own != addresses_.end() && exceeds_share(own->second)) {
        return choose(&own->first, now);
    }
    if (const std::string* excessive = find_excessive(); excessive != nullptr) {
        if (const auto chosen = choose(excessive, now)) {
            return chosen;
        }
    }
    return choose(nullptr, now);
}

std::optional<caller_connections::connection_id>
caller_connections::choose_for_memory(std::optional<connection_id> requesting, time_point now) const {
    const auto found = requesting ? connections_.find(*requesting) : connections_.end();
    const std::string* own = found == connections_.end() ? nullptr : found->second.address;
    return own == nullptr ? choose(nullptr, now) : choose_for_connection(*own, now);
}

} // namespace lovageledge
