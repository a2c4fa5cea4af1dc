#pragma once

#include "lovageledge/gateway/gateway_state.hpp"

namespace lovageledge {

/**
    Tells server_speed and server_pace how the attempts of one request went.

    Must only be used on the gateway's thread.
*/
class attempt_observer {
public:
    /** @param state must outlive this object */
    explicit attempt_observer(gateway_state& state) : state_{state} {}

    /** Records that an attempt is being sent. @param expected time until its response begins */
    void on_sent(const backend& server, bool needs_weights, duration expected);
    /** Records that the response to the current attempt has begun.
        @param was_undelayed nothing but the server can have delayed it, such as the load of an adapter */
    void on_response_started(bool was_undelayed);
    /** Records the end of the current attempt, also of one that was not sent.
        @param has_failed the server is to blame for the missing response */
    void on_ended(bool has_failed);

private:
    gateway_state& state_;
    server_name server_;
    time_point sent_at_{};
    duration expected_{};
    /** The current attempt's number in state_.speeds. */
    std::uint64_t observation_ = 0;
    /** server_pace counts the current attempt as without a response. */
    bool is_counted_by_pace_ = false;
};

} // namespace lovageledge
