#include "lovageledge/transport/peer_socket.hpp"

#include <cerrno>
#include <map>
#include <mutex>
#include <thread>
#include <vector>
#include <zmq.hpp>

namespace lovageledge {
namespace {

/** Messages that wait for one peer. */
constexpr int queue_length = 100'000;
/** ZeroMQ's own heartbeats find connections that have gone silent, in milliseconds. */
constexpr int probe_interval_ms = 1000;
constexpr int probe_timeout_ms = 3000;
/** Pause before a broken connection is opened again, in milliseconds. */
constexpr int reconnect_ms = 100;
constexpr int reconnect_limit_ms = 1000;

} // namespace

struct peer_socket::implementation {
    implementation(message_handler message_listener, error_handler problem_listener)
        : on_message{std::move(message_listener)}, on_error{std::move(problem_listener)},
          inbound{context, zmq::socket_type::pull}, wake_receiver{context, zmq::socket_type::pair},
          wake_sender{context, zmq::socket_type::pair} {
        wake_receiver.bind("inproc://wake");
        wake_sender.connect("inproc://wake");
        inbound.set(zmq::sockopt::linger, 0);
        inbound.set(zmq::sockopt::rcvhwm, queue_length);
        inbound.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(max_peer_message_bytes));
        inbound.set(zmq::sockopt::heartbeat_ivl, probe_interval_ms);
        inbound.set(zmq::sockopt::heartbeat_timeout, probe_timeout_ms);
    }

    void receive();
    bool receive_waiting();
    void receive_one(const zmq::message_t& bytes);

    message_handler on_message;
    error_handler on_error;
    zmq::context_t context{1};
    zmq::socket_t inbound;
    zmq::socket_t wake_receiver;
    zmq::socket_t wake_sender;
    std::mutex mutex;
    std::map<instance_name, zmq::socket_t> peers;
    std::thread thread;
};

void peer_socket::implementation::receive_one(const zmq::message_t& bytes) {
    error why;
    const auto envelope = parse_envelope(bytes.to_string_view(), why);
    if (!envelope) {
        on_error(why);
        return;
    }
    on_message(*envelope);
}

void peer_socket::implementation::receive() {
    while (true) {
        try {
            if (!receive_waiting()) {
                return;
            }
        } catch (const zmq::error_t& problem) {
            if (problem.num() != EINTR) {
                on_error({"peer.receive", "", problem.what()});
                return;
            }
            // A signal was delivered to this thread; its handler has run.
        }
    }
}

bool peer_socket::implementation::receive_waiting() {
    std::vector<zmq::pollitem_t> items{{inbound.handle(), 0, ZMQ_POLLIN, 0},
                                       {wake_receiver.handle(), 0, ZMQ_POLLIN, 0}};
    zmq::poll(items, std::chrono::milliseconds{-1});
    if ((items[1].revents & ZMQ_POLLIN) != 0) {
        return false;
    }
    zmq::message_t bytes;
    while (inbound.recv(bytes, zmq::recv_flags::dontwait)) {
        receive_one(bytes);
    }
    return true;
}

peer_socket::peer_socket(message_handler on_message, error_handler on_error)
    : implementation_{std::make_unique<implementation>(std::move(on_message), std::move(on_error))} {}

peer_socket::~peer_socket() {
    if (implementation_->thread.joinable()) {
        implementation_->wake_sender.send(zmq::message_t{}, zmq::send_flags::none);
        implementation_->thread.join();
    }
}

bool peer_socket::listen(const std::string& address, error& why) {
    try {
        implementation_->inbound.bind("tcp://" + address);
    } catch (const zmq::error_t& problem) {
        why = {"peer.listen", address, problem.what()};
        return false;
    }
    implementation_->thread = std::thread{[this] { implementation_->receive(); }};
    return true;
}

void peer_socket::connect(const instance_name& peer, const std::string& address) {
    zmq::socket_t socket{implementation_->context, zmq::socket_type::push};
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, queue_length);
    socket.set(zmq::sockopt::heartbeat_ivl, probe_interval_ms);
    socket.set(zmq::sockopt::heartbeat_timeout, probe_timeout_ms);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_limit_ms);
    // A message to a peer that is away is dropped, not kept for its next start.
    socket.set(zmq::sockopt::immediate, 1);
    socket.connect("tcp://" + address);
    const std::scoped_lock lock{implementation_->mutex};
    implementation_->peers.insert_or_assign(peer, std::move(socket));
}

void peer_socket::send(const instance_name& peer, const protocol::Envelope& message) {
    const std::string bytes = message.SerializeAsString();
    const std::scoped_lock lock{implementation_->mutex};
    const auto socket = implementation_->peers.find(peer);
    if (socket == implementation_->peers.end()) {
        ++dropped_;
        return;
    }
    try {
        const auto sent = socket->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
        (sent ? sent_bytes_ : dropped_) += sent ? bytes.size() : 1;
    } catch (const zmq::error_t&) {
        ++dropped_; // Interrupted by a signal, or the socket is being closed.
    }
}

} // namespace lovageledge
