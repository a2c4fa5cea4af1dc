#pragma once

// Umbrella header of the coordination module, which makes all decisions of an instance and does no I/O.
// Depends on: base, state, protocol.

#include "lovageledge/coordination/node.hpp"
