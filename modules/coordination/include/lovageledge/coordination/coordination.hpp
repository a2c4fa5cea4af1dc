#pragma once

// Umbrella header of the coordination module: every decision of an instance, without sockets.
// Depends on: base, state, protocol.

#include "lovageledge/coordination/node.hpp"
