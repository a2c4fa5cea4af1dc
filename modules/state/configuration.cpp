#include "lovageledge/state/configuration.hpp"

namespace lovageledge {

const calling_service* configuration::find_service_by_token(const std::string& token) const {
    const auto by_token = services_by_token_digest.find(sha256_hex(token));
    if (by_token == services_by_token_digest.end()) {
        return nullptr;
    }
    return &services.at(by_token->second);
}

} // namespace lovageledge
