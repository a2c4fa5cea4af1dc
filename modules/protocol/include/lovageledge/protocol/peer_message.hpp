#pragma once

#include "lovageledge/base/base.hpp"

#include "peer.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovageledge {

/** Version of the messages between our processes; others are refused. */
inline constexpr std::uint32_t peer_protocol_version = 1;
/** Longest message that is read from a peer, in bytes. */
inline constexpr std::size_t max_peer_message_bytes = std::size_t{4} * 1024 * 1024;

/** Reads a message from a peer. @param bytes as received @param why filled if there is no result
    @returns the message, or nothing if it is too long, malformed or of another version. Thread-safe. */
std::optional<protocol::Envelope> parse_envelope(std::string_view bytes, error& why);

/** @returns a stored object's JSON text. Thread-safe. */
std::string to_json(const google::protobuf::Message& message);

/** Fills a message from a stored object's JSON text. @returns false if it is malformed. Thread-safe. */
bool from_json(const std::string& text, google::protobuf::Message& message);

} // namespace lovageledge
