#pragma once

#include "lovageledge/base/base.hpp"

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace lovageledge {

/** @returns the name of a numbered event, as docs/EVENTS.md lists it */
std::string event_name(event number);

/** Writes each decision to the process's log and remembers the latest, for operators who ask why.
    Thread-safe. */
class decision_log {
public:
    /** @param remembered lines that find() can return */
    explicit decision_log(std::size_t remembered = 20'000) : remembered_{remembered} {}
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;
    ~decision_log() = default;

    /** Logs one event. @param text fields in the form key=value */
    void write(event number, std::string_view text);
    /** @returns the remembered lines that name a request or any other text, oldest first */
    std::vector<std::string> find(const std::string& text) const;

private:
    std::size_t remembered_;
    mutable std::mutex mutex_;
    std::deque<std::string> lines_;
};

} // namespace lovageledge
