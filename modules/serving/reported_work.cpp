#include "lovageledge/serving/reported_work.hpp"

#include <algorithm>

namespace lovageledge {

void reported_work::record(const server_name& server, const peer_server_work& work) {
    reported_[server] = work;
}

peer_server_work reported_work::work_of_others(const server_name& server,
                                               const peer_server_work& totals) const {
    peer_server_work result = totals;
    const auto own = reported_.find(server);
    if (own != reported_.end()) {
        result.in_flight -= std::min(result.in_flight, own->second.in_flight);
        result.streaming -= std::min(result.streaming, own->second.streaming);
        result.avoided_by -= std::min(result.avoided_by, own->second.avoided_by);
        result.pending_tokens -= std::min(result.pending_tokens, own->second.pending_tokens);
        result.committed_tokens -= std::min(result.committed_tokens, own->second.committed_tokens);
        for (std::size_t rank = 0; rank < waiting_ranks; ++rank) {
            result.wanted_tokens[rank] -=
                std::min(result.wanted_tokens[rank], own->second.wanted_tokens[rank]);
        }
    }
    return result;
}

} // namespace lovageledge
