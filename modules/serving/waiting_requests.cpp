#include "lovageledge/serving/waiting_requests.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace lovageledge {
namespace {

/** Usage of an account counts half after this time, which is longer than most requests wait. */
constexpr auto usage_half_life = std::chrono::seconds{5};
/** Most refused requests whose return is remembered. */
constexpr std::size_t max_returns = 4096;
/** Callers may come back this much earlier than told, because their clocks and rounding differ. */
constexpr auto early_return = std::chrono::milliseconds{50};
/** A caller that comes back later than this after the time it was told has given up its place. */
constexpr auto return_lifetime = std::chrono::seconds{5};

} // namespace

waiting_ticket waiting_requests::add(waiting_request request) {
    const waiting_ticket ticket{++last_ticket_};
    std::vector<server_name> servers = std::move(request.servers);
    request.servers.clear();
    entries_.emplace(ticket, std::move(request));
    set_servers(ticket, std::move(servers));
    return ticket;
}

void waiting_requests::remove(waiting_ticket ticket) {
    set_servers(ticket, {});
    entries_.erase(ticket);
}

waiting_request* waiting_requests::find(waiting_ticket ticket) {
    const auto found = entries_.find(ticket);
    return found == entries_.end() ? nullptr : &found->second;
}

const waiting_request* waiting_requests::find(waiting_ticket ticket) const {
    const auto found = entries_.find(ticket);
    return found == entries_.end() ? nullptr : &found->second;
}

void waiting_requests::set_servers(waiting_ticket ticket, std::vector<server_name> servers) {
    waiting_request* request = find(ticket);
    if (request == nullptr) {
        return;
    }
    for (const server_name& server : request->servers) {
        const auto known = by_server_.find(server);
        known->second.erase(ticket);
        if (known->second.empty()) {
            by_server_.erase(known);
        }
    }
    request->servers = std::move(servers);
    for (const server_name& server : request->servers) {
        by_server_[server].insert(ticket);
    }
}

std::size_t waiting_requests::effective_rank(const waiting_request& request, time_point now) {
    const std::size_t rank = std::min<std::size_t>(request.rank, waiting_ranks - 1);
    const bool has_waited_long = now - request.arrived >= (request.deadline - request.arrived) / 2;
    return has_waited_long && rank > 0 ? rank - 1 : rank;
}

double waiting_requests::served(const waiting_request& request, time_point now) const {
    const auto known = usage_.find(request.account);
    if (known == usage_.end()) {
        return 0.0;
    }
    const double half_lives = std::chrono::duration<double>(now - known->second.updated) / usage_half_life;
    return known->second.tokens * std::exp2(-half_lives) / std::max(1.0, request.account_weight);
}

bool waiting_requests::goes_before(waiting_ticket left, waiting_ticket right, time_point now) const {
    const auto key = [&](waiting_ticket ticket) {
        const waiting_request& request = entries_.at(ticket);
        const bool is_late = now + request.reading > request.target;
        return std::tuple{effective_rank(request, now),
                          is_late,
                          served(request, now),
                          !request.has_returned,
                          is_late ? request.deadline : request.target,
                          ticket};
    };
    return key(left) < key(right);
}

std::optional<waiting_ticket> waiting_requests::first_at(const server_name& server, time_point now) const {
    const auto waiting = by_server_.find(server);
    if (waiting == by_server_.end()) {
        return std::nullopt;
    }
    return *std::min_element(
        waiting->second.begin(), waiting->second.end(),
        [&](waiting_ticket left, waiting_ticket right) { return goes_before(left, right, now); });
}

bool waiting_requests::is_first_at(const server_name& server, waiting_ticket ticket, time_point now) const {
    const auto waiting = by_server_.find(server);
    return waiting == by_server_.end() ||
           std::none_of(waiting->second.begin(), waiting->second.end(), [&](waiting_ticket other) {
               return other != ticket && goes_before(other, ticket, now);
           });
}

tokens_by_rank waiting_requests::tokens_at(const server_name& server, time_point now) const {
    tokens_by_rank tokens{};
    if (const auto waiting = by_server_.find(server); waiting != by_server_.end()) {
        for (const waiting_ticket ticket : waiting->second) {
            const waiting_request& request = entries_.at(ticket);
            tokens[effective_rank(request, now)] += request.unread_tokens;
        }
    }
    return tokens;
}

std::uint64_t waiting_requests::tokens_ahead(const server_name& server, waiting_ticket ticket,
                                             time_point now) const {
    std::uint64_t tokens = 0;
    if (const auto waiting = by_server_.find(server); waiting != by_server_.end()) {
        for (const waiting_ticket other : waiting->second) {
            if (other != ticket && goes_before(other, ticket, now)) {
                const waiting_request& request = entries_.at(other);
                tokens += request.unread_tokens / std::max<std::size_t>(1, request.servers.size());
            }
        }
    }
    return tokens;
}

void waiting_requests::on_served(const account_name& account, std::uint64_t tokens, time_point now) {
    usage& known = usage_[account];
    const double half_lives = std::chrono::duration<double>(now - known.updated) / usage_half_life;
    known.tokens = known.tokens * std::exp2(-half_lives) + static_cast<double>(tokens);
    known.updated = now;
}

void waiting_requests::on_refused(std::uint64_t request, time_point return_at) {
    if (returns_.size() >= max_returns) {
        returns_.erase(
            std::min_element(returns_.begin(), returns_.end(),
                             [](const auto& left, const auto& right) { return left.second < right.second; }));
    }
    returns_[request] = return_at;
}

bool waiting_requests::take_returned(std::uint64_t request, time_point now) {
    const auto known = returns_.find(request);
    if (known == returns_.end()) {
        return false;
    }
    const bool is_as_told = now + early_return >= known->second && now <= known->second + return_lifetime;
    if (is_as_told || now > known->second) {
        returns_.erase(known);
    }
    return is_as_told;
}

} // namespace lovageledge
