#pragma once

#include "lovageledge/serving/serving.hpp"
#include "lovageledge/transport/transport.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lovageledge {

/** Attributes of a request, read from the caller's headers. */
struct request_attributes {
    caller_credentials credentials;
    request_id id;
    /** How long the caller waits for the response; unset if the caller did not specify it. */
    std::optional<duration> caller_timeout;
    adapter_ref weights;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    /** Prompt tokens plus most output tokens; unset if the caller did not specify both. */
    std::optional<std::uint64_t> total_tokens;
    std::vector<prompt_part> prompt_parts;
};

/** Attributes of a response, read from the backend server's headers. */
struct response_attributes {
    /** The request that the response belongs to; unset if the server did not specify it. */
    std::optional<request_id> id;
    /** The server has added its digest, without which a success is not its response. */
    bool has_digest = false;
    /** The server states that it has not run the request and never will. */
    bool is_not_run = false;
    /** The server has another name, or does not hold the weights in the requested version. */
    bool is_misdirected = false;
    std::optional<server_name> server;
    std::optional<server_load_report> load;
    /** The server announces its shutdown. */
    bool is_leaving = false;
    /** The server turned the request away and wants nothing from this instance for this long. */
    std::optional<duration> requested_pause;
    /** Describes a header that is malformed and what was assumed instead; empty if there is none. */
    std::string malformed_header;
};

/** What the gateway sends to a backend server in addition to the caller's request. */
struct forwarding_parameters {
    server_name server;
    duration remaining{};
    /** The client account that the request belongs to, if there is one. */
    std::optional<account_name> account;
    std::optional<std::uint32_t> priority;
    std::optional<std::uint64_t> version;
    /** Id of the last event that was received; the stream resumes after it. */
    std::optional<std::string> resume_after;
};

/** Which headers of callers the gateway keeps to itself. */
enum class header_scope : std::uint8_t {
    /** Those that the gateway sets in every deployment. */
    without_accounts,
    /** Also the caller's credentials and the name of the account. */
    with_accounts,
};

/**
    Functions that read and write the headers of callers and backend servers.

    The platform's adapter provides them; the gateway itself does not depend on header names. The functions
    must be stateless and must not throw.
*/
struct wire_codec {
    std::function<request_attributes(const http::fields&)> read_request;
    std::function<response_attributes(const response_head&)> read_response;
    /** @returns true if only the gateway may set the header, so that a caller's is not forwarded */
    std::function<bool(std::string_view name, header_scope scope)> is_reserved;
    /** Appends the parameters as header lines to a request head. */
    std::function<void(std::string&, const forwarding_parameters&)> append_parameters;
    /** Header of the response to a request without valid credentials. */
    http_header credentials_challenge;
};

/** A record that gateways keep in the platform's store. */
struct stored_record {
    std::string name;
    std::string json;
    store_revision revision;
};

/** Outcome of a conditional write. */
enum class write_outcome {
    done,
    /** The record has another revision, or is missing; the current record is returned if it could be read. */
    conflict,
    failed,
    /** No response: the write may have been applied or may still be. */
    unknown,
};

struct write_result {
    write_outcome outcome = write_outcome::failed;
    std::optional<stored_record> record;
};

/** Result of an order to a backend server. */
struct order_result {
    order_outcome outcome = order_outcome::unknown;
    /** For the log: the response status, or why there was no response. */
    std::string detail;
};

/** A server's report of the weights that it holds. */
struct weights_report {
    std::uint64_t started_at = 0;
    std::uint64_t order_sequence = 0;
    held_weights weights;
    /** Adapters that are being loaded. */
    std::set<adapter_ref> loading;
};

/** The sender of an order and its fencing token. */
struct order_authority {
    instance_name holder;
    std::uint64_t fence = 0;
    /** @returns true while the sender may send orders with this token. Called right before the order is
        sent. */
    std::function<bool()> is_valid = [] { return true; };
};

/** Interface between a gateway and the reader of the platform's store. Its functions are called on the
    gateway's thread. */
struct store_reader {
    /** @returns the revision up to which each kind was read, without the kinds that can't be read at
        present */
    std::function<std::vector<store_position>()> positions = [] { return std::vector<store_position>{}; };
    /** @returns true if the list of the servers is at most as old as the change limit of their kind */
    std::function<bool()> are_servers_current = [] { return true; };
    /** Called with the holder's positions; for a limited time the holder's updates replace own watches of
        the store. Their ages include the time that the holder's message was on its way. */
    std::function<void(const std::vector<store_position>&)> on_holder_positions =
        [](const std::vector<store_position>&) {};
    /** Called when the holder changes: the former holder's positions are no longer valid. */
    std::function<void()> on_holder_changed = [] {};
    /** @returns the time since the configuration was last known to be the store's current one, by an own or
        the holder's reading; nothing if it has not been read */
    std::function<std::optional<duration>()> configuration_age = [] { return std::optional<duration>{}; };
    /** Applies changes that the holder has relayed. */
    std::function<void(const store_update&)> apply = [](const store_update&) {};
};

/** Services of the platform that the gateway uses. The functions are called on the gateway's thread. */
struct platform_port {
    /** Writes a record of the gateways.
        @param expected revision that the record must have; std::nullopt to create it */
    std::function<asio::awaitable<write_result>(std::string name, std::string json,
                                                std::optional<store_revision> expected)>
        write_record;
    /** Reads the current version of a record. @returns std::nullopt if there is none or the read failed */
    std::function<asio::awaitable<std::optional<stored_record>>(std::string name)> read_record;
    /** Sends an order to the server at an address, unless the authority is no longer valid by then. */
    std::function<asio::awaitable<order_result>(weights_order order, std::string address,
                                                order_authority authority)>
        send_order;
    /** Reads a server's report. @returns std::nullopt on failure */
    std::function<asio::awaitable<std::optional<weights_report>>(std::string address)> read_weights;
    store_reader store;
};

} // namespace lovageledge
