#pragma once

// Umbrella header of the protocol module: the messages between instances and the objects they store.
// Depends on: base, protobuf. The code that protoc generates from peer.proto is committed.

#include "lovageledge/protocol/peer_message.hpp"
