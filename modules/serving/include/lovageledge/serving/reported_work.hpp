#pragma once

#include "lovageledge/serving/backend_directory.hpp"

#include <map>

namespace lovageledge {

/**
    Removes the work that this gateway has reported from the totals that it receives back.

    The receiver of the reports sends back totals over all gateways. Without the subtraction this gateway's
    own work would be counted twice: once as known locally and once as part of the total. Not thread-safe.
*/
class reported_work {
public:
    /** Starts a new report, which replaces the previous one. */
    void clear() { reported_.clear(); }
    /** Records the work at a server that the report contains. */
    void record(const server_name& server, const peer_server_work& work);
    /** @param totals the work of all gateways at the server, including this one
        @returns the work of the other gateways. Each difference is at least zero, because the totals may be
        older than the report. */
    peer_server_work work_of_others(const server_name& server, const peer_server_work& totals) const;

private:
    std::map<server_name, peer_server_work> reported_;
};

} // namespace lovageledge
