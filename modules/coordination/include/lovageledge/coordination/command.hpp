#pragma once

#include "lovageledge/protocol/protocol.hpp"
#include "lovageledge/state/state.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lovageledge {

/** One attempt of a request at a backend server. */
struct attempt_id {
    request_id request;
    std::uint32_t attempt = 0;

    auto operator<=>(const attempt_id&) const = default; // NOLINT(modernize-use-nullptr)
};

/** What became of a request, with the step and the peer at which it ended. */
struct request_result {
    protocol::Outcome outcome = protocol::UNKNOWN;
    error why;
    /** Suggested pause before the caller tries again; only for requests that were not run. */
    std::chrono::milliseconds retry_after{0};
    /** True if an earlier request holds the same key; outcome and why then tell of that one. */
    bool is_duplicate = false;
};

enum class platform_operation : std::uint8_t { get, put, remove, watch, list_instances };

enum class platform_status : std::uint8_t {
    ok,
    conflict,
    not_found,
    /** No answer: the operation may have taken effect. */
    unavailable,
};

/** The platform's answer to a call. */
struct platform_response {
    platform_status status = platform_status::unavailable;
    std::uint64_t version = 0;
    std::string data;
};

/** Send a message to a peer, in order with the earlier ones to it. */
struct send_to_peer {
    instance_name to;
    protocol::Envelope message;
};

/** Call the platform; the answer goes to node::on_platform_response(). */
struct call_platform {
    std::uint64_t call = 0;
    platform_operation operation = platform_operation::get;
    std::string kind;
    std::string name;
    /** For put and remove: the version to replace, 0 to create. For watch: answer once it differs. */
    std::uint64_t if_version = 0;
    std::string data;
};

/** Run a request on an engine; tokens and the end go to node::on_dispatch_progress() and _ended().
    It is sent only on a connection whose engine has told this start id, so that a restarted engine never
    gets a request that was admitted for its former start. */
struct dispatch_request {
    server_name server;
    std::string address;
    start_id start;
    attempt_id id;
    protocol::RequestSpec spec;
    /** When it was decided. A process that was paused since then does not carry it out, but reports the
        request as not run. @see dispatch_age_limit */
    time_point decided;
};

/** Age at which a decision to dispatch is void. */
inline constexpr auto dispatch_age_limit = std::chrono::milliseconds{1000};

/** Stop a dispatched request; its end is reported as for any other. */
struct cancel_dispatch {
    attempt_id id;
};

/** An answer broke off: make sure, on a new connection, that the engine no longer runs the request, and
   report it to node::on_dispatch_end_confirmed(). Repeat until the engine confirms it or has restarted. */
struct confirm_dispatch_ended {
    server_name server;
    std::string address;
    start_id start;
    attempt_id id;
};

/** Allow a dispatched request to read that many further tokens from its engine. */
struct extend_credit {
    attempt_id id;
    std::uint32_t tokens = 0;
};

/** Order an engine to load an adapter, on the server's order connection. */
struct order_load {
    server_name server;
    adapter_key key;
    std::string weights_path;
    std::uint64_t fencing = 0;
};

/** Order an engine to unload an adapter, on the server's order connection. */
struct order_unload {
    server_name server;
    adapter_key key;
    std::uint64_t fencing = 0;
};

/** Open an order connection to a server (a new one if asked to) and report its status. */
struct probe_server {
    server_name server;
    std::string address;
    bool is_new_connection = false;
};

/** Where a peer listens; told before the first message to it and when it moves. */
struct connect_peer {
    instance_name peer;
    std::string address;
};

/** Hand tokens to the caller of a request that entered here. */
struct deliver_tokens {
    request_id request;
    std::vector<std::string> tokens;
};

/** Tell the caller how a request that entered here ended. */
struct finish_request {
    request_id request;
    request_result result;
};

/** Call a plain service for a request that entered here. */
struct call_plain_service {
    request_id request;
    std::string address;
};

/** An operator's sheet that is to be put in force. */
struct publication_request {
    /** Chosen by the operator's tool; repeating an apply with the same id is safe. */
    std::string apply_id;
    /** The revision that the sheet was planned on. */
    revision_number based_on = 0;
    std::string author;
    std::string reason;
    /** Seconds since 1970, UTC. */
    std::int64_t accepted_at = 0;
    std::string sheet;
};

enum class publication_status : std::uint8_t {
    in_force,
    /** The sheet has errors; the reason lists them, a line each. */
    invalid,
    /** Another revision is in force than the sheet was planned on. */
    conflict,
    /** Not in force: the platform did not answer. */
    unavailable,
    /** The platform did not answer the last write; the history tells. */
    unknown,
};

/** Tell the operator how an apply ended. */
struct finish_publication {
    std::string apply_id;
    publication_status status = publication_status::unknown;
    std::string reason;
    protocol::RevisionRecord in_force;
};

using node_command =
    std::variant<send_to_peer, call_platform, dispatch_request, cancel_dispatch, confirm_dispatch_ended,
                 extend_credit, order_load, order_unload, probe_server, connect_peer, deliver_tokens,
                 finish_request, call_plain_service, finish_publication>;
using command_list = std::vector<node_command>;

} // namespace lovageledge
