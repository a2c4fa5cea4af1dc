#pragma once

#include "lovageledge/base/base.hpp"
#include "lovageledge/transport/network_types.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace lovageledge {

/**
    A time limit for reading from a socket, which cancels the socket's operations when it passes.

    Unlike the limit of a beast::tcp_stream, it leaves the socket open, and lets what has arrived be read
   first: where handlers take long, the limit and the arrival come due together. Use it on the socket's
   executor only. The socket must outlive it.
*/
class read_limit {
public:
    explicit read_limit(asio::ip::tcp::socket& socket) : socket_{socket}, timer_{socket.get_executor()} {}
    read_limit(const read_limit&) = delete;
    read_limit& operator=(const read_limit&) = delete;
    ~read_limit() = default;

    /** Called when the limit has passed without input. @returns a later limit, or nothing if it holds */
    using extension = std::function<std::optional<time_point>()>;

    /** @param extend asked before operations are cancelled; may be empty */
    void start(time_point limit, extension extend = {});
    void stop();
    /** @returns true if the limit has passed since start(), and operations were cancelled */
    bool has_passed() const { return has_passed_; }
    /** @returns the code of an operation, with beast::error::timeout if this limit has cancelled it */
    boost::system::error_code translated(boost::system::error_code code) const;

private:
    void wait();
    void on_expired();

    asio::ip::tcp::socket& socket_;
    asio::steady_timer timer_;
    extension extend_;
    bool has_passed_ = false;
    bool has_given_way_ = false;
    /** Tells a handler that was queued already whether this object still exists. */
    std::shared_ptr<bool> exists_ = std::make_shared<bool>(true);
};

} // namespace lovageledge
