#pragma once

#include <string>
#include <string_view>

namespace lovageledge {

/**
    Splits a stream of server-sent events at the ends of events.

    A stream that breaks off may end within an event. Only whole events are passed on, so that another server
    can resume after the last of them. Not thread-safe.
*/
class event_framer {
public:
    /** Takes bytes as they arrive. @returns whole events that may be passed on now */
    std::string take(std::string_view bytes);
    /** @returns bytes of an event that is not complete */
    const std::string& partial() const { return partial_; }
    /** Drops the incomplete event, before another server resumes the stream. */
    void discard_partial() { partial_.clear(); }
    /** @returns the id of the last whole event, or an empty text */
    const std::string& last_id() const { return last_id_; }

private:
    std::string partial_;
    std::string last_id_;
};

} // namespace lovageledge
