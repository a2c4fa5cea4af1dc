#include "lovageledge/serving/reported_work.hpp"

#include <algorithm>

namespace lovageledge {

void reported_work::record(const server_name& server, const peer_server_work& work) {
    told_[server] = work;
}

peer_server_work reported_work::work_of_others(const server_name& server,
                                               const peer_server_work& totals) const {
    peer_server_work result = totals;
    const auto own = told_.find(server);
    if (own != told_.end()) {
        result.in_flight -= std::min(result.in_flight, own->second.in_flight);
        result.streaming -= std::min(result.streaming, own->second.streaming);
        result.avoided_by -= std::min(result.avoided_by, own->second.avoided_by);
        result.pending_tokens -= std::min(result.pending_tokens, own->second.pending_tokens);
    }
    return result;
}

} // namespace lovageledge
