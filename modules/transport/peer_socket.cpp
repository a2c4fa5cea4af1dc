#include "lovageledge/transport/peer_socket.hpp"

#include <cerrno>
#include <map>
#include <mutex>
#include <thread>
#include <vector>
#include <zmq.hpp>

namespace lovageledge {
namespace {

/** Size of the kernel's send buffer of a socket with a low queue limit, in bytes. */
constexpr int small_send_buffer_bytes = 64 * 1024;
/** Interval and timeout of ZeroMQ's heartbeats, which detect dead connections. */
constexpr int heartbeat_interval_ms = 1000;
constexpr int heartbeat_timeout_ms = 3000;
/** Initial and maximum delay before a lost connection is opened again. */
constexpr int reconnect_interval_ms = 100;
constexpr int max_reconnect_interval_ms = 1000;
/** Time limit of one attempt to connect. Without it, the kernel repeats a lost connection request at growing
    intervals of up to minutes, and the connection stays down that much longer than the network. */
constexpr int connect_timeout_ms = 700;

} // namespace

struct peer_socket::implementation {
    implementation(message_handler message_callback, error_handler error_callback, int given_queue_limit)
        : on_message{std::move(message_callback)}, on_error{std::move(error_callback)},
          queue_limit{given_queue_limit}, inbound{context, zmq::socket_type::pull},
          wake_receiver{context, zmq::socket_type::pair}, wake_sender{context, zmq::socket_type::pair} {
        wake_receiver.bind("inproc://wake");
        wake_sender.connect("inproc://wake");
        inbound.set(zmq::sockopt::linger, 0);
        inbound.set(zmq::sockopt::rcvhwm, queue_limit);
        inbound.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(max_peer_message_bytes));
        inbound.set(zmq::sockopt::heartbeat_ivl, heartbeat_interval_ms);
        inbound.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
    }

    /** Runs on the receiver thread until the destructor stops it. */
    void receive_loop();
    /** Waits for messages and delivers all that have arrived. @returns false if the thread is to stop */
    bool receive_pending();
    /** Parses a message and passes it, or the parse error, to its handler. */
    void deliver(const zmq::message_t& bytes);

    message_handler on_message;
    error_handler on_error;
    const int queue_limit;
    zmq::context_t context{1};
    zmq::socket_t inbound;
    /** A message on this pair of sockets ends the receiver thread. */
    zmq::socket_t wake_receiver;
    zmq::socket_t wake_sender;
    /** Protects outbound. */
    std::mutex mutex;
    std::map<instance_name, zmq::socket_t> outbound;
    std::thread thread;
};

void peer_socket::implementation::deliver(const zmq::message_t& bytes) {
    error why;
    auto envelope = parse_envelope(bytes.to_string_view(), why);
    if (!envelope) {
        on_error(why);
        return;
    }
    on_message(std::move(*envelope));
}

void peer_socket::implementation::receive_loop() {
    while (true) {
        try {
            if (!receive_pending()) {
                return;
            }
        } catch (const zmq::error_t& exception) {
            if (exception.num() != EINTR) {
                on_error({"peer.receive", "", exception.what()});
                return;
            }
            // A signal handler interrupted the call.
        } catch (const std::exception& exception) {
            on_error({"peer.receive", "", exception.what()});
        }
    }
}

bool peer_socket::implementation::receive_pending() {
    std::vector<zmq::pollitem_t> poll_items{{inbound.handle(), 0, ZMQ_POLLIN, 0},
                                            {wake_receiver.handle(), 0, ZMQ_POLLIN, 0}};
    zmq::poll(poll_items, std::chrono::milliseconds{-1});
    if ((poll_items[1].revents & ZMQ_POLLIN) != 0) {
        return false;
    }
    zmq::message_t bytes;
    while (inbound.recv(bytes, zmq::recv_flags::dontwait)) {
        deliver(bytes);
    }
    return true;
}

peer_socket::peer_socket(message_handler on_message, error_handler on_error, int queue_limit)
    : implementation_{
          std::make_unique<implementation>(std::move(on_message), std::move(on_error), queue_limit)} {}

peer_socket::~peer_socket() {
    if (implementation_->thread.joinable()) {
        implementation_->wake_sender.send(zmq::message_t{}, zmq::send_flags::none);
        implementation_->thread.join();
    }
}

bool peer_socket::listen(const std::string& address, error& why) {
    try {
        implementation_->inbound.bind("tcp://" + address);
    } catch (const zmq::error_t& exception) {
        why = {"peer.listen", address, exception.what()};
        return false;
    }
    implementation_->thread = std::thread{[this] { implementation_->receive_loop(); }};
    return true;
}

void peer_socket::connect(const instance_name& peer, const std::string& address) {
    zmq::socket_t socket{implementation_->context, zmq::socket_type::push};
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, implementation_->queue_limit);
    if (implementation_->queue_limit < default_queue_limit) {
        socket.set(zmq::sockopt::sndbuf, small_send_buffer_bytes);
    }
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_interval_ms);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_interval_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, max_reconnect_interval_ms);
    socket.set(zmq::sockopt::connect_timeout, connect_timeout_ms);
    // Drops messages while the peer is not connected, rather than keep them until it restarts.
    socket.set(zmq::sockopt::immediate, 1);
    try {
        socket.connect("tcp://" + address);
    } catch (const zmq::error_t& exception) {
        implementation_->on_error({"peer.connect", address, exception.what()});
        return;
    }
    const std::scoped_lock lock{implementation_->mutex};
    implementation_->outbound.insert_or_assign(peer, std::move(socket));
}

void peer_socket::send(const instance_name& peer, const protocol::Envelope& message) {
    send_bytes(peer, message.SerializeAsString());
}

void peer_socket::send_bytes(const instance_name& peer, const std::string& bytes) {
    const std::scoped_lock lock{implementation_->mutex};
    const auto peer_entry = implementation_->outbound.find(peer);
    if (peer_entry == implementation_->outbound.end()) {
        ++dropped_messages_;
        return;
    }
    try {
        const auto sent = peer_entry->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
        (sent ? sent_bytes_ : dropped_messages_) += sent ? bytes.size() : 1;
    } catch (const zmq::error_t&) {
        ++dropped_messages_; // Interrupted by a signal, or the socket is being closed.
    }
}

} // namespace lovageledge
