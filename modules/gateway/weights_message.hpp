#pragma once

#include "lovageledge/serving/backend_directory.hpp"

#include "peer.pb.h"

#include <map>
#include <string>
#include <string_view>

namespace lovageledge {

/** Encodes weights for a peer message. Thread-safe. @param version 0 if it is not sent */
inline protocol::WeightsRef to_message(const adapter_ref& ref, std::uint64_t version = 0) {
    protocol::WeightsRef message;
    message.set_model(ref.model);
    message.set_adapter(ref.adapter);
    message.set_version(version);
    return message;
}

/** Encodes the weights that a server holds for a peer message. Thread-safe. */
inline protocol::ServerWeights to_server_weights(const backend& server) {
    protocol::ServerWeights message;
    message.set_server(server.listing.name.text());
    message.set_started_at(server.listing.started_at);
    message.set_sequence(server.order_sequence.value_or(0));
    std::map<std::string_view, protocol::HeldModel*> models;
    const auto model_of = [&](const std::string& name) -> protocol::HeldModel& {
        protocol::HeldModel*& model = models[name];
        if (model == nullptr) {
            model = message.add_models();
            model->set_model(name);
        }
        return *model;
    };
    for (const auto& [name, version] : server.listing.weights.models) {
        model_of(name).set_version(version);
    }
    for (const auto& [ref, version] : server.listing.weights.adapters) {
        protocol::AdapterVersion& adapter = *model_of(ref.model).add_adapters();
        adapter.set_adapter(ref.adapter);
        adapter.set_version(version);
    }
    return message;
}

/** Decodes the weights that a server holds. Thread-safe. */
inline held_weights to_held_weights(const protocol::ServerWeights& message) {
    held_weights weights;
    for (const protocol::HeldModel& model : message.models()) {
        if (model.has_version()) {
            weights.models[model.model()] = model.version();
        }
        for (const protocol::AdapterVersion& adapter : model.adapters()) {
            weights.adapters[{model.model(), adapter.adapter()}] = adapter.version();
        }
    }
    return weights;
}

/** Decodes weights from a peer message, without their version. Thread-safe. */
inline adapter_ref to_ref(const protocol::WeightsRef& message) {
    return {message.model(), message.adapter()};
}

} // namespace lovageledge
