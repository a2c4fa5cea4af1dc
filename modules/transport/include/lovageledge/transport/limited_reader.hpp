#pragma once

#include "lovageledge/transport/read_limit.hpp"

#include <cstddef>

namespace lovageledge {

/**
    Reads from a socket up to a time limit, which leaves the socket open: the reader may still answer. Use it
   on the socket's executor only, from one coroutine at a time. The socket must outlive it.
*/
class limited_reader {
public:
    explicit limited_reader(asio::ip::tcp::socket& socket) : socket_{socket}, limit_{socket} {}
    limited_reader(const limited_reader&) = delete;
    limited_reader& operator=(const limited_reader&) = delete;
    ~limited_reader() = default;

    /** Waits until something arrives and reads it. What has arrived is read also if the limit has passed or
        the socket's operations are cancelled before that is noticed.
        @param code set to beast::error::timeout if the limit passes without input, or to
        asio::error::operation_aborted if the socket's operations are cancelled without input
        @returns the number of bytes read */
    asio::awaitable<std::size_t> read_some(asio::mutable_buffer buffer, time_point limit,
                                           boost::system::error_code& code);

private:
    asio::ip::tcp::socket& socket_;
    read_limit limit_;
};

} // namespace lovageledge
