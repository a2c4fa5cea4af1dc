#pragma once

#include "lovageledge/base/base.hpp"
#include "lovageledge/transport/network_types.hpp"

#include <memory>

namespace lovageledge {

/**
    A time limit for writing to a connection, which closes it when it passes.

    Unlike the limit of a beast::tcp_stream, it counts only while the process runs: a peer that has taken all
    that the kernel held while the process stood still could not take more. Use it on the stream's executor
    only. The stream must outlive it.
*/
class write_limit {
public:
    write_limit(beast::tcp_stream& stream, duration limit);
    write_limit(const write_limit&) = delete;
    write_limit& operator=(const write_limit&) = delete;
    ~write_limit() = default;

    /** @returns the code of a write, with beast::error::timeout if this limit has closed the connection */
    boost::system::error_code translated(boost::system::error_code code) const;

private:
    struct state;

    /** Waits for the next check. */
    static void wait(const std::shared_ptr<state>& waiting);
    static void check(const std::shared_ptr<state>& waiting);

    std::shared_ptr<state> state_;
};

} // namespace lovageledge
