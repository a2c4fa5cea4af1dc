#pragma once

// Umbrella header of the base module: identifiers, time, errors, events, digests and the memory budget.
// Depends on: spdlog, OpenSSL (digests).

#include "lovageledge/base/digest.hpp"
#include "lovageledge/base/error.hpp"
#include "lovageledge/base/event_log.hpp"
#include "lovageledge/base/memory_budget.hpp"
#include "lovageledge/base/runtime_clock.hpp"
#include "lovageledge/base/strong_id.hpp"
