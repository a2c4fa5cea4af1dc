#pragma once

// Umbrella header of the service module: an instance as a daemon runs it, on the network.
// Depends on: coordination, transport.

#include "lovageledge/service/daemon_settings.hpp"
#include "lovageledge/service/instance.hpp"
