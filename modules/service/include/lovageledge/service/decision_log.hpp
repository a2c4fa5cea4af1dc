#pragma once

#include "lovageledge/base/base.hpp"

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace lovageledge {

/** @returns the name of an event, as listed in docs/EVENTS.md */
std::string event_name(event number);

/** Writes each decision to the process log and keeps the most recent ones in memory, so that operators can
    look up why a request was handled as it was. Thread-safe. */
class decision_log {
public:
    /** @param capacity number of recent lines that find() searches; 0 keeps none */
    explicit decision_log(std::size_t capacity = 20'000) : capacity_{capacity} {}
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;
    ~decision_log() = default;

    /** Logs one event. @param text fields in the form key=value, separated by spaces */
    void write(event number, std::string_view text);
    /** @returns the kept lines that contain a text, such as a request id, oldest first */
    std::vector<std::string> find(const std::string& text) const;

private:
    std::size_t capacity_;
    mutable std::mutex mutex_;
    std::deque<std::string> lines_;
};

} // namespace lovageledge
