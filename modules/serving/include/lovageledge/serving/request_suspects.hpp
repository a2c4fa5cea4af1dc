#pragma once

#include "lovageledge/serving/crash_registry.hpp"
#include "lovageledge/serving/server_selector.hpp"

#include <string>
#include <vector>

namespace lovageledge {

/**
    What may be to blame if a server ends under a request: the request itself and the parts of its prompt that
    other requests may share.

    Immutable after construction; all methods may be called from any thread.
*/
class request_suspects {
public:
    request_suspects() = default;
    /** @param service the service that runs the request
        @param parts all parts of the prompt; the last one belongs to the request or its session */
    request_suspects(const crash_suspect& request, const pool_name& service,
                     const std::vector<prompt_part>& parts);

    /** @returns the request itself, then the parts of its prompt */
    const std::vector<crash_suspect>& all() const { return suspects_; }
    /** Precondition: there is a request. */
    const crash_suspect& request() const { return suspects_.front(); }
    /** @param suspect one of all() @returns for the caller why requests with it are refused */
    std::string describe_refusal(const crash_suspect& suspect) const;
    /** @returns the parts of the prompt and their crashes, for the log */
    std::string describe_parts(const crash_registry& crashes) const;

private:
    std::vector<crash_suspect> suspects_;
    /** The ids of the parts, in the order of suspects_. */
    std::vector<std::string> part_ids_;
};

} // namespace lovageledge
