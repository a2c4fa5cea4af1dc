#pragma once

#include "lovageledge/serving/backend_directory.hpp"

#include "peer.pb.h"

namespace lovageledge {

/** Encodes weights for a peer message. Thread-safe. @param version 0 if it is not sent */
inline protocol::WeightsRef to_message(const adapter_ref& ref, std::uint64_t version = 0) {
    protocol::WeightsRef message;
    message.set_model(ref.model);
    message.set_adapter(ref.adapter);
    message.set_version(version);
    return message;
}

/** Decodes weights from a peer message, without their version. Thread-safe. */
inline adapter_ref to_ref(const protocol::WeightsRef& message) {
    return {message.model(), message.adapter()};
}

} // namespace lovageledge
