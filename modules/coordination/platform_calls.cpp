#include "lovageledge/coordination/platform_calls.hpp"

namespace lovageledge {

void platform_calls::start(call_platform request, continuation then, command_list& out) {
    request.call = next_;
    next_ += stride_;
    pending_.emplace(request.call, std::move(then));
    out.emplace_back(std::move(request));
}

void platform_calls::answer(std::uint64_t call, const platform_response& answer, time_point now,
                            command_list& out) {
    const auto pending = pending_.find(call);
    if (pending == pending_.end()) {
        return;
    }
    const continuation then = std::move(pending->second);
    pending_.erase(pending);
    then(answer, now, out);
}

} // namespace lovageledge
