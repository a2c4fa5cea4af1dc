#pragma once

#include <string>
#include <string_view>

namespace lovageledge {

/**
    Splits a stream of server-sent events at event boundaries.

    A broken stream may end in the middle of an event. Only complete events are forwarded, so that another
    server can resume the stream after the last one. Not thread-safe.
*/
class event_framer {
public:
    /** Adds received bytes. @returns the events that are complete now and can be forwarded */
    std::string append(std::string_view bytes);
    /** @returns the bytes of the incomplete event at the end of the stream */
    const std::string& partial() const { return partial_; }
    /** Drops the incomplete event. Call this before another server resumes the stream. */
    void discard_partial() { partial_.clear(); }
    /** @returns the last event id in the complete events so far, or an empty string */
    const std::string& last_id() const { return last_id_; }

private:
    std::string partial_;
    std::string last_id_;
};

} // namespace lovageledge
