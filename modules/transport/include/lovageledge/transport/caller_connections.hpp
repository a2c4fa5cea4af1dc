#pragma once

#include "lovageledge/base/runtime_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace lovageledge {

/** What happens on a caller's connection. */
enum class connection_stage : std::uint8_t {
    /** It was accepted, and nothing has been received on it. */
    silent,
    /** A part of a request was received, or the request was refused and its rest is being discarded. */
    receiving,
    /** It waits for its next request. */
    kept,
    /** It waits for its next request, and the kernel holds a part of the last response. */
    delivering,
    /** A part of a response is being sent and the caller has not taken it yet. */
    sending,
    /** A request is being processed. Such a connection is never chosen. */
    serving,
};

/** Limits for all connections together. */
struct connection_limits {
    std::uint32_t connections = 4096;
    /** Bytes that are held for all connections. */
    std::size_t memory = std::size_t{64} * 1024 * 1024;
    /** Fraction of both that connections from one address may take while other addresses have connections. */
    double address_share = 0.75;
};

/**
    Decides which connection is closed when connections or memory are short.

    Connections that are silent or have sent a part of a request go first, then those that wait for their next
    request, then those that don't take their response; the oldest of each first. An address with more than
   its share gives way to other addresses. A connection that gives way keeps its place until it is closed.
   Does no I/O. Not thread-safe.
*/
class caller_connections {
public:
    using connection_id = std::uint64_t;

    explicit caller_connections(connection_limits limits) : limits_{limits} {}

    void set_limits(const connection_limits& limits) { limits_ = limits; }
    /** Adds a connection in stage silent. @param address the caller's IP address */
    void open(connection_id id, const std::string& address, time_point now);
    void close(connection_id id);
    /** Asks a connection to give way. It is not chosen again, and its next stage takes this back. */
    void ask_to_leave(connection_id id);
    /** Decides on a connection that was asked to give way, by what is known of it where it is served.
        @param has_unsent true if the kernel holds a part of a response to it
        @returns true if it may be closed; if not, it stays */
    bool confirm_leaving(connection_id id, bool has_unsent, time_point now);
    /** Keeps a connection that is about to be closed from being chosen. It has its place until close(). */
    void leave(connection_id id);
    /** Takes leave() back. */
    void stay(connection_id id, time_point now);
    /** Does nothing for a connection that was closed. */
    void set_stage(connection_id id, connection_stage stage, time_point now);
    /** Sets the bytes that are held for a connection. Does nothing for one that was closed. */
    void set_held(connection_id id, std::size_t bytes);

    std::size_t size() const { return connections_.size(); }
    /** @returns the number of connections that were asked to give way or are about to be closed */
    std::size_t leaving() const { return leaving_; }
    /** @returns the number of connections that wait for their first or next request */
    std::size_t idle() const { return idle_; }
    /** @returns true if a connection waits for its first or next request */
    bool is_idle(connection_id id) const;
    /** @returns true if there is no place for another connection, or an address has its share */
    bool is_full_for(const std::string& address) const;
    /** @returns as is_full_for(), without regard to the memory that the address holds */
    bool is_out_of_places_for(const std::string& address) const;
    /** @returns the connection to close for a new one from an address; nothing if the new one is closed */
    std::optional<connection_id> choose_for_connection(const std::string& address, time_point now) const;
    /** @returns the connection to close when more memory is needed, which may be the requesting one; nothing
        if all requests were received and all responses are being taken.
        @param requesting nothing if the memory is not for a connection */
    std::optional<connection_id> choose_for_memory(std::optional<connection_id> requesting,
                                                   time_point now) const;

private:
    enum class departure : std::uint8_t { none, asked, decided };
    struct entry {
        const std::string* address = nullptr;
        connection_stage stage = connection_stage::silent;
        time_point since{};
        std::size_t held = 0;
        departure leaving = departure::none;
    };
    struct address_usage {
        std::size_t connections = 0;
        std::size_t held = 0;
    };
    /** In the order in which connections are chosen. */
    struct candidate {
        int rank = 0;
        time_point since{};
        connection_id id = 0;
        bool operator<(const candidate& other) const;
    };

    static candidate make_candidate(connection_id id, const entry& connection);
    static bool is_being_taken(const entry& connection, time_point now);
    bool exceeds_share(const address_usage& usage) const;
    bool exceeds_share_of_places(const address_usage& usage) const;
    /** @param address only connections from this address are chosen; nullptr for any */
    std::optional<connection_id> choose(const std::string* address, time_point now) const;
    /** @returns an address with more than its share, or nullptr */
    const std::string* find_excessive() const;
    void set_departure(connection_id id, entry& connection, departure value);
    void add_candidate(connection_id id, const entry& connection);
    void remove_candidate(connection_id id, const entry& connection);

    connection_limits limits_;
    std::map<connection_id, entry> connections_;
    std::map<std::string, address_usage> addresses_;
    std::set<candidate> candidates_;
    std::size_t idle_ = 0;
    std::size_t leaving_ = 0;
};

} // namespace lovageledge
