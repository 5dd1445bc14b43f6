#include <parsleypitch/core/hash.hpp>

#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace parsleypitch {

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed) noexcept {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string sha256_hex(std::string_view bytes) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    std::string text;
    text.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 15U]);
    }
    return text;
}

} // namespace parsleypitch
