#pragma once

// Umbrella header of the protocol module: the messages between our processes and the objects we store.
// Depends on: base, protobuf. The generated code is committed; scripts/generate.sh renews it.

#include "lovageledge/protocol/peer_message.hpp"
