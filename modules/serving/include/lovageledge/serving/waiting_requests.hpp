#pragma once

#include "lovageledge/serving/backend_directory.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lovageledge {

/** Identifies an entry of the queue. */
enum class waiting_ticket : std::uint64_t {};

/** A request that waits for room on an engine. */
struct waiting_request {
    /** Priority of the account or the route; 0 is the most important. */
    std::uint32_t rank = 0;
    /** The client account; empty if there is none. */
    account_name account;
    /** What the account may use per second, so that usage is compared relative to it; 1 without a cap. */
    double account_weight = 1.0;
    /** The caller was refused before and came back as told, or another server did not run the request. */
    bool has_returned = false;
    time_point arrived{};
    /** When the first event is due. */
    time_point target{};
    /** When the first event must have come. */
    time_point deadline{};
    /** The engines for any of which it waits. */
    std::vector<server_name> servers;
    /** Prompt tokens that the engine has to prefill. */
    std::uint64_t unread_tokens = 0;
    /** Expected time from sending the request to its first event. */
    duration reading{};
};

/**
    The queue of a gateway's requests that wait for room on an engine, in the order in which they are sent.

    The order is: rank, where a request that has waited for half of its time moves up by one; requests whose
    first event can still be in time; accounts that were served least relative to what they may use; callers
    that came back as told; the earlier deadline. Not thread-safe.
*/
class waiting_requests {
public:
    waiting_ticket add(waiting_request request);
    void remove(waiting_ticket ticket);
    /** @returns the entry, or nullptr if it was removed. Its servers must not be changed, see set_servers().
     */
    waiting_request* find(waiting_ticket ticket);
    const waiting_request* find(waiting_ticket ticket) const;
    /** Sets the engines for which a request waits; it goes to the first that has room. */
    void set_servers(waiting_ticket ticket, std::vector<server_name> servers);

    std::size_t size() const { return entries_.size(); }
    /** @returns the engines for which requests wait, and their requests */
    const std::map<server_name, std::set<waiting_ticket>>& by_server() const { return by_server_; }

    /** @returns the rank with which a request is ordered */
    static std::size_t effective_rank(const waiting_request& request, time_point now);
    /** @returns the request that goes next to an engine, or nothing if none waits for it */
    std::optional<waiting_ticket> first_at(const server_name& server, time_point now) const;
    /** @returns true if no request that waits for the engine goes before this one, which may itself wait for
        another engine. Precondition: the ticket is in the queue. */
    bool is_first_at(const server_name& server, waiting_ticket ticket, time_point now) const;
    /** @returns the tokens that wait for an engine, by effective rank */
    tokens_by_rank tokens_at(const server_name& server, time_point now) const;
    /** @returns the tokens of the requests that go before this one and will probably go to the engine: those
        that wait for several engines count in part. Precondition: the ticket is in the queue. */
    std::uint64_t tokens_ahead(const server_name& server, waiting_ticket ticket, time_point now) const;

    /** Counts tokens that an account was served. */
    void on_served(const account_name& account, std::uint64_t tokens, time_point now);
    /** Records that a caller was told to come back.
        @param request digest of the request, which is the same when its caller returns */
    void on_refused(std::uint64_t request, time_point return_at);
    /** @returns true once if the request was refused before and its caller came back no earlier than told.
        Its record is removed. */
    bool take_returned(std::uint64_t request, time_point now);

private:
    struct usage {
        double tokens = 0.0;
        time_point updated{};
    };

    bool goes_before(waiting_ticket left, waiting_ticket right, time_point now) const;
    /** @returns the decayed tokens that the request's account was served, relative to what it may use */
    double served(const waiting_request& request, time_point now) const;

    std::uint64_t last_ticket_ = 0;
    std::map<waiting_ticket, waiting_request> entries_;
    std::map<server_name, std::set<waiting_ticket>> by_server_;
    std::map<account_name, usage> usage_;
    std::map<std::uint64_t, time_point> returns_;
};

} // namespace lovageledge
