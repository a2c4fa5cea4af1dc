#pragma once

// Umbrella header of the service module, which runs an instance on the network.
// Depends on: coordination, transport.

#include "lovageledge/service/daemon_settings.hpp"
#include "lovageledge/service/instance.hpp"
