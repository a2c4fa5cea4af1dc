#include "lovageledge/base/digest.hpp"

#include <array>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <span>
#include <stdexcept>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lovageledge {
namespace {

std::string to_hex(std::span<const unsigned char> bytes) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xFU]);
    }
    return text;
}

} // namespace

std::string sha256_hex(std::string_view bytes) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("OpenSSL cannot compute a SHA-256 digest");
    }
    return to_hex({digest.data(), size});
}

std::uint64_t stable_hash(std::string_view bytes) {
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t rendezvous_weight(std::uint64_t key_hash, std::uint64_t candidate_hash) {
    return XXH3_64bits_withSeed(&candidate_hash, sizeof candidate_hash, key_hash);
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) {
    return rendezvous_weight(stable_hash(key), stable_hash(candidate));
}

std::string random_identifier() {
    std::array<unsigned char, 16> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("OpenSSL cannot generate random bytes");
    }
    return to_hex(bytes);
}

} // namespace lovageledge
