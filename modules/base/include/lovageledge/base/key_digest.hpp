#pragma once

#include <array>
#include <compare>
#include <string_view>

namespace lovageledge {

/** The SHA-256 digest of a key, which is kept and compared instead of the key. */
class key_digest {
public:
    /** @param key the key as its owner presents it */
    explicit key_digest(std::string_view key);

    /** Compares in a time that does not depend on where the digests differ. Thread-safe. */
    bool is_same_key(const key_digest& other) const;

    /** An order for containers; its time depends on the digests. */
    auto operator<=>(const key_digest&) const = default; // NOLINT(modernize-use-nullptr)

private:
    std::array<unsigned char, 32> bytes_{};
};

} // namespace lovageledge
