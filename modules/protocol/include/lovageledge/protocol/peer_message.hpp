#pragma once

#include "lovageledge/base/base.hpp"

#include "peer.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovageledge {

/** Version of the protocol between instances; messages of any other version are rejected. */
inline constexpr std::uint32_t peer_protocol_version = 1;
/** Size of the longest message that is accepted from a peer. */
inline constexpr std::size_t max_peer_message_bytes = std::size_t{4} * 1024 * 1024;

/** Parses a message from a peer. @param bytes as received @param why filled in if there is no result
    @returns the message, or nothing if it is too long, malformed or of another version. Thread-safe. */
std::optional<protocol::Envelope> parse_envelope(std::string_view bytes, error& why);

/** @returns the JSON text of an object for the platform's store, or an empty text if the message cannot be
    converted. Thread-safe. */
std::string to_json(const google::protobuf::Message& message);

/** Fills a message from the JSON text of a stored object; fields that are not known are ignored.
    @returns false if the text is malformed. Thread-safe. */
bool from_json(const std::string& text, google::protobuf::Message& message);

} // namespace lovageledge
