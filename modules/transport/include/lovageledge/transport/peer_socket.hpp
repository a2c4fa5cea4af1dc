#pragma once

#include "lovageledge/protocol/protocol.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lovageledge {

/**
    Messages between instances over ZeroMQ.

    Each pair of instances has one connection per direction, and messages to a peer arrive in the order in
    which they were sent, or not at all. A peer that takes no messages fills its queue; further messages to
    it are dropped and counted, so that one silent peer never holds up the others. Its owner's requests are
    then ended by the membership's suspicion. All methods are thread-safe.
*/
class peer_socket {
public:
    using message_handler = std::function<void(const protocol::Envelope&)>;
    using error_handler = std::function<void(const error&)>;

    /** @param on_message runs on the socket's own thread, one message at a time */
    peer_socket(message_handler on_message, error_handler on_error);
    ~peer_socket();
    peer_socket(const peer_socket&) = delete;
    peer_socket& operator=(const peer_socket&) = delete;

    /** Starts to listen. @param address "IP:PORT" @returns false with the reason if it can't */
    bool listen(const std::string& address, error& why);
    /** Sets where a peer listens; a former connection to it is closed. */
    void connect(const instance_name& peer, const std::string& address);
    /** Sends a message; it is dropped if the peer was never connected. */
    void send(const instance_name& peer, const protocol::Envelope& message);

    /** @returns messages that were dropped because a peer's queue was full */
    std::uint64_t dropped_messages() const { return dropped_; }
    /** @returns bytes of all messages sent */
    std::uint64_t sent_bytes() const { return sent_bytes_; }

private:
    struct implementation;

    std::unique_ptr<implementation> implementation_;
    std::atomic<std::uint64_t> dropped_{0};
    std::atomic<std::uint64_t> sent_bytes_{0};
};

} // namespace lovageledge
