#pragma once

#include <memory>
#include <spdlog/formatter.h>

namespace lovageledge {

/** @returns the format of the daemons' logs: one line a message, with its time in UTC and its level. Control
    characters are replaced, since a message may contain texts of other processes. */
std::unique_ptr<spdlog::formatter> make_log_formatter();

} // namespace lovageledge
