#pragma once

#include "lovageledge/gateway/attempt_observer.hpp"
#include "lovageledge/gateway/connection_pool.hpp"
#include "lovageledge/gateway/gateway_state.hpp"
#include "lovageledge/gateway/message_heads.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovageledge {

/** Bytes of a stream that may be forwarded to the caller. */
struct stream_part {
    /** Empty while an event is incomplete, and at the end. */
    std::string bytes;
    bool is_end = false;
};

/** What the attempts of a request need to know of it. What is referred to must outlive them. */
struct attempted_request {
    const request_attributes& attributes;
    const selection_request& work;
    const request_decision& decision;
};

/**
    One attempt to have a request answered by a server: its connection, its response, and its share in the
    counts of the server from its selection on.

    It takes no decision on the request: the request_handler decides what follows from its end, and calls
    end() for each attempt. Must only be used on the gateway's thread.
*/
class server_attempt {
public:
    /** Counts the request as running at the server.
        @param state and pool must outlive this object
        @param framer joins the events of this attempt to those that the caller has
        @param is_undelayed only the server can delay the response, and not, for example, an adapter that was
        loaded first */
    server_attempt(gateway_state& state, connection_pool& pool, const attempted_request& request,
                   backend& server, const server_choice& choice, event_framer framer, bool is_undelayed);
    server_attempt(const server_attempt&) = delete;
    server_attempt& operator=(const server_attempt&) = delete;
    ~server_attempt() = default;

    /** Adds the request to the work that the scheduler knows of. @param terms as it was placed by */
    void count_as_work(backend& server, const placement_terms& terms);
    /** Takes the attempt off the server's counts; further calls do nothing.
        @param has_failed the server is to blame for the missing response
        @param is_completed the response was received to its end */
    void end(bool has_failed, bool is_completed);

    bool has_ended() const { return has_ended_; }

    const server_name& name() const { return listing_.name; }
    /** @returns the server's entry when the attempt began */
    const server_listing& listing() const { return listing_; }
    /** @returns the prompt tokens of the request that count as pending at the server */
    std::uint32_t pending_tokens() const { return pending_tokens_; }

    /** Takes a connection from the pool, or opens one.
        @param excluded connections that must not be used
        @returns false and sets why if there is none */
    asio::awaitable<bool> connect(duration max_idle_time, duration timeout,
                                  const std::vector<std::shared_ptr<forwarding_connection>>& excluded,
                                  error& why);
    /** Starts to write the request. Precondition: it is connected. @param body as in forwarding_connection */
    void send(std::string head, std::shared_ptr<const std::string> body);
    /** Reads the head of the response to this attempt, skipping late or repeated responses to earlier
        requests, until patience_end(). head() and attributes() are set then.
        @param extend as in forwarding_connection::read_head()
        @returns false and sets why if none arrives */
    asio::awaitable<bool> read_head(const read_limit::extension& extend, std::string& why);
    /** Returns the connection to the pool, or closes it if it can't be used again. */
    void release_connection();
    /** Closes the connection, so that the server drops the request. */
    void abort();
    /** Ends the attempt because another one answers the request. Whatever its connection reports afterwards
        is no failure of the server. */
    void withdraw();
    bool is_withdrawn() const { return is_withdrawn_; }

    /** @returns nullptr unless it is connected */
    const std::shared_ptr<forwarding_connection>& connection() const { return connection_; }
    time_point sent_at() const { return sent_at_; }
    /** @returns true if it was sent and take_open() was not called since */
    bool is_open() const { return is_open_; }
    /** @returns is_open(), which is false from now on: it is decided whether the server may have run it */
    bool take_open() { return std::exchange(is_open_, false); }
    const response_head& head() const { return head_; }
    const response_attributes& attributes() const { return attributes_; }
    /** @returns how the end of the response's body is told */
    body_framing framing() const { return framing_; }
    /** Prepares for the body of a stream.
        @param is_resumable another server can continue it after its last complete event */
    void begin_stream(bool is_resumable);
    bool is_resumable() const { return is_resumable_; }
    /** @returns what joins the events of this attempt to those of the attempts before */
    event_framer& framer() { return framer_; }
    const event_framer& framer() const { return framer_; }
    /** @returns the memory of the body that is not forwarded yet. Precondition: begin_stream() was called */
    memory_share& memory() { return *memory_; }
    /** @returns when an event was last received or taken by the caller, or else the stream began */
    time_point last_progress() const { return last_progress_; }
    void set_last_progress(time_point now) { last_progress_ = now; }
    /** @returns until when the server's silence is accepted; set by the handler */
    time_point patience_end() const { return patience_end_; }
    void set_patience_end(time_point end) { patience_end_ = end; }
    /** Keeps a part of the stream that was read before the attempt became the one that answers. */
    void keep_part(stream_part part) { kept_part_ = std::move(part); }
    /** @returns the part that was kept, if there is one */
    std::optional<stream_part> take_kept_part() { return std::exchange(kept_part_, std::nullopt); }

    /** Counts bytes of the response's body. */
    void add_received(std::size_t bytes) { received_bytes_ += bytes; }

    /** Records that a whole response from a server without adapters has arrived. */
    void on_buffered_response();
    /** Records that a part of a stream has arrived, which may be its end. */
    void on_stream_part();
    /** Records events of a stream that arrived. */
    void on_events(std::string_view bytes);
    /** Records that a stream has arrived as a whole. */
    void on_stream_ended();
    /** Records that the response has arrived as a whole, as far as it tells. */
    void record_success();
    /** Records that the response broke off or did not come. @param why for the log */
    void record_broken(std::string_view why);

private:
    void release_pending_tokens();
    /** Takes it off the requests whose response the directory waits for. */
    void end_unanswered();
    /** @returns true if a response certainly belongs to the request that was last sent on the connection */
    bool is_own_response(const response_attributes& attributes) const;
    /** Reads and drops the body of a response to another request. @returns false if that can't be done */
    asio::awaitable<bool> skip_body(const response_head& head, const read_limit::extension& extend);
    /** Processes what a response says about its server, whichever request it belongs to. */
    void process_notices(const response_attributes& attributes);
    void on_own_head();
    server_start_id server_start() const { return make_server_start_id(listing_.name, listing_.started_at); }

    gateway_state& state_;
    connection_pool& pool_;
    attempted_request request_;
    server_listing listing_;
    duration expected_;
    bool is_undelayed_;
    std::uint32_t pending_tokens_ = 0;
    /** Set if the scheduler counts it. */
    std::optional<request_size> size_;
    bool has_ended_ = false;
    bool is_withdrawn_ = false;
    bool is_resumable_ = false;
    std::shared_ptr<forwarding_connection> connection_;
    /** The directory counts it as unanswered. */
    bool is_unanswered_ = false;
    bool is_open_ = false;
    /** The server counts it as streaming. */
    bool is_counted_streaming_ = false;
    time_point sent_at_{};
    attempt_observer observer_{state_};
    response_head head_;
    response_attributes attributes_;
    body_framing framing_ = body_framing::none;
    std::uint64_t received_bytes_ = 0;
    stream_timing stream_events_;
    event_framer framer_;
    std::unique_ptr<memory_share> memory_;
    time_point last_progress_{};
    time_point patience_end_{};
    std::optional<stream_part> kept_part_;
};

} // namespace lovageledge
