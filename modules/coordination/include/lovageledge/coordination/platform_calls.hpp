#pragma once

#include "lovageledge/coordination/command.hpp"

#include <functional>
#include <unordered_map>

namespace lovageledge {

/**
    The pending platform calls of one shard.

    Not thread-safe; guarded by the shard's lock.
*/
class platform_calls {
public:
    using continuation = std::function<void(const platform_response&, time_point, command_list&)>;

    /** @param first_call number of the first call @param stride difference between the numbers of
        successive calls; shards that use the same stride and different first calls never share a number */
    platform_calls(std::uint64_t first_call, std::uint64_t stride)
        : next_call_{first_call}, stride_{stride} {}

    /** Emits a call. @param request the call; its number is filled in @param then invoked once, with the
        response */
    void start(call_platform request, continuation then, command_list& out);

    /** Invokes the continuation of a call; an unknown call number is ignored. */
    void complete(std::uint64_t call, const platform_response& response, time_point now, command_list& out);

private:
    std::uint64_t next_call_;
    std::uint64_t stride_;
    std::unordered_map<std::uint64_t, continuation> pending_;
};

} // namespace lovageledge
