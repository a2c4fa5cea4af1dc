#include "lovageledge/protocol/peer_message.hpp"

#include <google/protobuf/util/json_util.h>

namespace lovageledge {

std::optional<protocol::Envelope> parse_envelope(std::string_view bytes, error& why) {
    if (bytes.size() > max_peer_message_bytes) {
        why = {"peer.parse", "", "message of " + std::to_string(bytes.size()) + " bytes is too long"};
        return std::nullopt;
    }
    protocol::Envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        why = {"peer.parse", "", "malformed message"};
        return std::nullopt;
    }
    if (envelope.protocol_version() != peer_protocol_version) {
        why = {"peer.parse", envelope.from(),
               "protocol version " + std::to_string(envelope.protocol_version()) + ", expected " +
                   std::to_string(peer_protocol_version)};
        return std::nullopt;
    }
    return envelope;
}

std::string to_json(const google::protobuf::Message& message) {
    std::string text;
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
    return status.ok() ? text : std::string{};
}

bool from_json(const std::string& text, google::protobuf::Message& message) {
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    return google::protobuf::util::JsonStringToMessage(text, &message, options).ok();
}

} // namespace lovageledge
