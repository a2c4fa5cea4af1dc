#pragma once

#include <exception>
#include <functional>

namespace lovageledge {

/** @returns a completion handler for a coroutine that nobody awaits: logs the exception that ended it, if
   any.
    @param step what the coroutine does, for the log; a string literal */
std::function<void(std::exception_ptr)> log_exception(const char* step);

} // namespace lovageledge
