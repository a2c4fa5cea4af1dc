#include "lovageledge/transport/percent_encoding.hpp"

namespace lovageledge {
namespace {

/** @returns true if a character stands for itself in every part of a target */
bool is_unreserved(char character) {
    const bool is_letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool is_digit = character >= '0' && character <= '9';
    return is_letter || is_digit || character == '-' || character == '.' || character == '_' ||
           character == '~';
}

} // namespace

std::string percent_encoded(std::string_view text) {
    constexpr std::string_view hex_digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        if (is_unreserved(character)) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += hex_digits[byte >> 4U];
        encoded += hex_digits[byte & 15U];
    }
    return encoded;
}

} // namespace lovageledge
