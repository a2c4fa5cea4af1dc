#pragma once

#include "lovageledge/serving/backend_directory.hpp"

#include <map>

namespace lovageledge {

/**
    Takes the part that this side has told out of totals that are told back to it.

    The one who adds up answers with sums over all; without this, own work would count twice: once as known
    here and once in the sum. Not thread-safe.
*/
class reported_work {
public:
    /** Begins a new message: what was told before no longer stands. */
    void clear() { told_.clear(); }
    /** Notes own work at a server as told. */
    void record(const server_name& server, const peer_server_work& work);
    /** @param totals of all at the server, own work included
        @returns the work of the others; never below zero, since totals may be older than what was told */
    peer_server_work work_of_others(const server_name& server, const peer_server_work& totals) const;

private:
    std::map<server_name, peer_server_work> told_;
};

} // namespace lovageledge
