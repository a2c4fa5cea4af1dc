#pragma once

#include "lovageledge/serving/backend_directory.hpp"

#include "peer.pb.h"

namespace lovageledge {

/** @param version 0 where it is not told @returns weights as gateways name them to each other. Thread-safe.
 */
inline protocol::WeightsRef to_message(const adapter_ref& ref, std::uint64_t version = 0) {
    protocol::WeightsRef message;
    message.set_model(ref.model);
    message.set_adapter(ref.adapter);
    message.set_version(version);
    return message;
}

/** @returns the weights that a message names, without their version. Thread-safe. */
inline adapter_ref to_ref(const protocol::WeightsRef& message) {
    return {message.model(), message.adapter()};
}

} // namespace lovageledge
