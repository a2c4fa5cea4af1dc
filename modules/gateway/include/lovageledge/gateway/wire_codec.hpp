#pragma once

#include "lovageledge/serving/serving.hpp"
#include "lovageledge/transport/transport.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lovageledge {

/** What a caller's headers say of a request. */
struct request_attributes {
    request_id id;
    /** Time that the caller will wait; nothing if it did not say. */
    std::optional<duration> caller_timeout;
    adapter_ref weights;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::vector<prompt_part> prompt_parts;
};

/** What a backend server's headers say of an answer. */
struct response_attributes {
    /** The request that is answered; nothing if the server did not say. */
    std::optional<request_id> id;
    /** The server states that it has not run the request and never will. */
    bool is_not_run = false;
    /** The server has another name, or does not hold the weights or the version. */
    bool is_misdirected = false;
    std::optional<server_name> server;
    std::optional<server_load_report> load;
};

/** What the gateway tells a backend server beside the caller's request. */
struct forwarding_parameters {
    server_name server;
    duration remaining{};
    std::optional<std::uint32_t> priority;
    std::optional<std::uint64_t> version;
    /** The stream resumes after this event. */
    std::optional<std::string> resume_after;
};

/**
    The headers that callers and backend servers use, as functions.

    The adapter of a platform fills these in; the gateway itself knows no header's name.
    The functions must not throw and keep no state.
*/
struct wire_codec {
    std::function<request_attributes(const http::fields&)> read_request;
    std::function<response_attributes(const response_head&)> read_response;
    /** Tells whether a caller's header is not passed on, since only the gateway may set it. */
    std::function<bool(std::string_view)> is_reserved;
    /** Appends the terms as header lines. */
    std::function<void(std::string&, const forwarding_parameters&)> append_parameters;
};

/** An instance's entry in the platform's store. */
struct stored_record {
    std::string name;
    std::string json;
    std::uint64_t revision = 0;
};

/** What became of a conditional write. */
enum class write_outcome {
    done,
    /** Another revision is there; the record that stands is returned. */
    conflict,
    failed,
    /** It may have been done, or may be done later. */
    unknown,
};

struct write_result {
    write_outcome outcome = write_outcome::failed;
    std::optional<stored_record> record;
};

/** What an order brought about. */
struct order_result {
    order_outcome outcome = order_outcome::unknown;
    /** For the log: the status, or why there is none. */
    std::string detail;
};

/** What a server reports of its weights. */
struct weights_report {
    std::uint64_t started_at = 0;
    std::uint64_t order_sequence = 0;
    held_weights weights;
    std::set<adapter_ref> coming;
};

/** Who gives an order: the instance and its fencing token. */
struct order_authority {
    instance_name holder;
    std::uint64_t fence = 0;
};

/** What a gateway and its reader of the platform's store tell each other, as functions. Called on the
   gateway's thread. */
struct store_reader {
    /** @returns up to where each kind has been read; empty if the store can't be read now */
    std::function<std::vector<store_position>()> positions = [] { return std::vector<store_position>{}; };
    /** Takes the positions of the holder, on which this gateway may rely for a while. */
    std::function<void(const std::vector<store_position>&)> on_holder_positions =
        [](const std::vector<store_position>&) {};
    /** The holder has changed: its word does not hold any more. */
    std::function<void()> on_holder_changed = [] {};
    /** Takes changes that the holder has read. */
    std::function<void(const store_update&)> apply = [](const store_update&) {};
};

/** The platform's services that the gateway needs, as functions. Called on the gateway's thread. */
struct platform_port {
    /** Writes one of the system's own records. @param expected nothing to create it */
    std::function<asio::awaitable<write_result>(std::string name, std::string json,
                                                std::optional<std::uint64_t> expected)>
        write_record;
    std::function<asio::awaitable<order_result>(weights_order order, std::string address,
                                                order_authority authority)>
        send_order;
    std::function<asio::awaitable<std::optional<weights_report>>(std::string address)> read_weights;
    store_reader store;
};

} // namespace lovageledge
