#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lovageledge {

/** @returns the SHA-256 digest of the bytes as 64 hexadecimal digits. Thread-safe. */
std::string sha256_hex(std::string_view bytes);

/** Rendezvous hashing weight of a candidate for a key (highest random weight, Thaler and Ravishankar 1998).
    A key belongs to the candidate with the greatest weight. Thread-safe.
    @returns a weight that is uniformly distributed over the candidates */
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

/** @returns a 64-bit hash of the bytes, the same on every instance. Thread-safe. */
std::uint64_t stable_hash(std::string_view bytes);

/** As above, for names that are hashed once and compared often. @see stable_hash */
std::uint64_t rendezvous_weight(std::uint64_t key_hash, std::uint64_t candidate_hash);

/** @returns 128 random bits as 32 hexadecimal digits, to identify process runs and requests. Thread-safe. */
std::string random_identifier();

} // namespace lovageledge
