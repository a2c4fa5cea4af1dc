#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovageledge {

/**
    Joins the runs of a stream of server-sent events, which several servers may produce one after the other.

    A broken run may end in the middle of an event. Only complete events are forwarded, so that another
    server can resume the stream after the last one. The events of a resumed run must continue the former
    ones: their ids are compared, because a server may start from the beginning or leave events out. Not
    thread-safe.
*/
class event_framer {
public:
    /** Starts the run of a server. Call this before its first bytes; an incomplete event of the run before is
        dropped. */
    void begin_run();
    /** @returns a framer for another run that continues after the complete events of this one */
    event_framer next_run() const;
    /** Adds received bytes of the current run.
        @returns the events that are complete now and can be forwarded; nothing if the run does not continue
        the stream, see last_reason() */
    std::optional<std::string> append(std::string_view bytes);
    /** Ends the current run. @returns the bytes after the last complete event; nothing as for append() */
    std::optional<std::string> finish();
    /** @returns true if the run has ended at least one event and begun no other */
    bool is_between_events() const { return has_event_ && partial_.empty(); }
    /** @returns the size of the event that has begun and is not complete */
    std::size_t incomplete_bytes() const { return partial_.size(); }
    /** @returns the last event id in the complete events so far; empty if there is none, or if it has control
        characters, so that no other run can continue after it */
    const std::string& last_id() const { return last_id_; }
    /** @returns why append() or finish() last returned nothing */
    const std::string& last_reason() const { return last_reason_; }

private:
    bool accept_id(std::string_view id);

    std::string partial_;
    std::string last_id_;
    std::string last_reason_;
    /** The largest difference between the ids of two successive events of a run; 0 if unknown. */
    std::uint64_t largest_step_ = 0;
    /** The current run has completed an event. */
    bool has_event_ = false;
    /** The next event is the first one of a resumed run. */
    bool must_continue_ = false;
};

} // namespace lovageledge
