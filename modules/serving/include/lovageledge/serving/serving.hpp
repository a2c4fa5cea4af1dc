#pragma once

// Umbrella header of the serving module: which server runs a request, what may be repeated, which adapters
// the servers hold. Decisions only; no sockets, no threads. Depends on: base.

#include "lovageledge/serving/adapter_planner.hpp"
#include "lovageledge/serving/backend_directory.hpp"
#include "lovageledge/serving/demand_meter.hpp"
#include "lovageledge/serving/event_framer.hpp"
#include "lovageledge/serving/reported_work.hpp"
#include "lovageledge/serving/retry_budget.hpp"
#include "lovageledge/serving/server_selector.hpp"
#include "lovageledge/serving/store_watch_policy.hpp"
#include "lovageledge/serving/traffic_configuration.hpp"
#include "lovageledge/serving/unserved_status.hpp"
#include "lovageledge/serving/version_registry.hpp"
