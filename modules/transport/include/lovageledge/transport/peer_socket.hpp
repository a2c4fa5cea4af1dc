#pragma once

#include "lovageledge/protocol/protocol.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lovageledge {

/**
    Exchanges messages between instances over ZeroMQ.

    Each pair of instances has one connection per direction. Messages to a peer arrive in the order in which
    they were sent, or not at all. Messages to a peer whose queue is full are dropped and counted, so that an
    unresponsive peer never delays the others; the requests that it owns are ended once the membership
    suspects it. All methods are thread-safe.
*/
class peer_socket {
public:
    using message_handler = std::function<void(protocol::Envelope)>;
    using error_handler = std::function<void(const error&)>;

    /** Queue limit for messages that must not be lost while a peer is slow. */
    static constexpr int default_queue_limit = 100'000;

    /** @param on_message called on the socket's receiver thread, for one message at a time
        @param on_error called on the same thread for messages that can't be parsed, and when receiving fails
        for good
        @param queue_limit maximum number of messages that are queued per peer in each direction. A low limit
        suits messages that are soon outdated, such as heartbeats: on a slow link, they are dropped rather
        than delayed. */
    peer_socket(message_handler on_message, error_handler on_error, int queue_limit = default_queue_limit);
    ~peer_socket();
    peer_socket(const peer_socket&) = delete;
    peer_socket& operator=(const peer_socket&) = delete;

    /** Starts to receive messages. @param address "IP:PORT" @returns false and sets why on failure */
    bool listen(const std::string& address, error& why);
    /** Connects to a peer; an earlier connection to it is closed. @param address "IP:PORT" */
    void connect(const instance_name& peer, const std::string& address);
    /** Queues a message for a peer. It is dropped if the peer is not connected or its queue is full. */
    void send(const instance_name& peer, const protocol::Envelope& message);
    /** Queues a serialised message, as above. A message to many peers is serialised once for all of them. */
    void send_bytes(const instance_name& peer, const std::string& bytes);

    /** @returns the number of messages that send() has dropped */
    std::uint64_t dropped_messages() const { return dropped_messages_; }
    /** @returns the total size in bytes of the messages that were queued */
    std::uint64_t sent_bytes() const { return sent_bytes_; }

private:
    struct implementation;

    std::unique_ptr<implementation> implementation_;
    std::atomic<std::uint64_t> dropped_messages_{0};
    std::atomic<std::uint64_t> sent_bytes_{0};
};

} // namespace lovageledge
