#pragma once

#include <string>

namespace lovageledge {

/**
    Why an operation gave no result: the step that failed, the peer it failed at, and the reason.

    Functions that can fail return an empty std::optional and fill one of these.
*/
struct error {
    std::string step;
    std::string peer;
    std::string reason;

    /** @returns the three parts in one line, for logs and answers */
    std::string text() const { return step + " at " + (peer.empty() ? "self" : peer) + ": " + reason; }
};

} // namespace lovageledge
