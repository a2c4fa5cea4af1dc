#pragma once

#include "lovageledge/coordination/command.hpp"

#include <functional>
#include <unordered_map>

namespace lovageledge {

/**
    The platform calls of one shard that have not been answered yet.

    Not thread-safe; the shard's lock guards it.
*/
class platform_calls {
public:
    using continuation = std::function<void(const platform_response&, time_point, command_list&)>;

    /** @param first_call the shard's first call number; numbers grow by stride, so that shards never share
     * one */
    platform_calls(std::uint64_t first_call, std::uint64_t stride) : next_{first_call}, stride_{stride} {}

    /** Emits a call. @param request its call number is filled in @param then runs once with the answer */
    void start(call_platform request, continuation then, command_list& out);

    /** Runs the continuation of an answered call; an unknown number is ignored. */
    void answer(std::uint64_t call, const platform_response& answer, time_point now, command_list& out);

private:
    std::uint64_t next_;
    std::uint64_t stride_;
    std::unordered_map<std::uint64_t, continuation> pending_;
};

} // namespace lovageledge
