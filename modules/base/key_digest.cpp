#include "lovageledge/base/key_digest.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <stdexcept>

namespace lovageledge {

key_digest::key_digest(std::string_view key) {
    if (EVP_Digest(key.data(), key.size(), bytes_.data(), nullptr, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("OpenSSL cannot compute a SHA-256 digest");
    }
}

bool key_digest::is_same_key(const key_digest& other) const {
    return CRYPTO_memcmp(bytes_.data(), other.bytes_.data(), bytes_.size()) == 0;
}

} // namespace lovageledge
