#pragma once

namespace lovageledge {

/** How long a server takes for the same work, relative to the middle of the servers of its service: 2 means
    twice as long. 1 without enough evidence. @see server_speed */
struct speed_estimate {
    /** Time until the first event of an engine, or until the response of a plain server. */
    double response = 1.0;
    /** Time between the events of a stream. */
    double event_interval = 1.0;
    /** How much evidence there is, from 0 (none) towards 1. */
    double response_confidence = 0.0;
    double event_interval_confidence = 0.0;
};

} // namespace lovageledge
