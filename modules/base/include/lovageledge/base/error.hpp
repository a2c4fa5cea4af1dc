#pragma once

#include <string>

namespace lovageledge {

/**
    Describes why an operation failed: the step, the peer that was involved, and the reason.

    Functions that can fail return an empty std::optional and fill in an error.
*/
struct error {
    std::string step;
    /** Empty if no other process was involved. */
    std::string peer;
    std::string reason;

    /** @returns step, peer and reason in one line, for logs and responses */
    std::string text() const { return step + " at " + (peer.empty() ? "self" : peer) + ": " + reason; }
};

} // namespace lovageledge
