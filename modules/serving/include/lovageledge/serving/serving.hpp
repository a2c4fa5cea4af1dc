#pragma once

// Umbrella header of the serving module, which selects a server for each request, limits retries and plans
// which adapters the servers load. It makes decisions only and uses no sockets or threads. Depends on:
// base.

#include "lovageledge/serving/adapter_planner.hpp"
#include "lovageledge/serving/backend_directory.hpp"
#include "lovageledge/serving/closed_responses.hpp"
#include "lovageledge/serving/crash_registry.hpp"
#include "lovageledge/serving/crash_suspect.hpp"
#include "lovageledge/serving/demand_meter.hpp"
#include "lovageledge/serving/event_framer.hpp"
#include "lovageledge/serving/message_delay.hpp"
#include "lovageledge/serving/order_succession.hpp"
#include "lovageledge/serving/reported_work.hpp"
#include "lovageledge/serving/retry_budget.hpp"
#include "lovageledge/serving/server_notices.hpp"
#include "lovageledge/serving/server_pace.hpp"
#include "lovageledge/serving/server_selector.hpp"
#include "lovageledge/serving/server_speed.hpp"
#include "lovageledge/serving/speed_estimate.hpp"
#include "lovageledge/serving/speed_evidence.hpp"
#include "lovageledge/serving/store_watch_policy.hpp"
#include "lovageledge/serving/stream_timing.hpp"
#include "lovageledge/serving/success_registry.hpp"
#include "lovageledge/serving/traffic_configuration.hpp"
#include "lovageledge/serving/unserved_status.hpp"
#include "lovageledge/serving/usage_cap.hpp"
#include "lovageledge/serving/version_registry.hpp"
