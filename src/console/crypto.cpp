#include "console/crypto.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cassert>
#include <vector>

namespace waxwing {
namespace {

using sha256_bytes = std::array<unsigned char, 32>;

template<typename Bytes>
std::string toHex(const Bytes &bytes)
{
    constexpr const char *digits = "0123456789abcdef";
    std::string result;
    for (const unsigned char byte : bytes) {
        result += digits[byte >> 4U];
        result += digits[byte & 15U];
    }
    return result;
}

const unsigned char *toBytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::string hmacSha256(std::string_view key, std::string_view text)
{
    sha256_bytes result{};
    const auto *done = HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), toBytes(text),
                            text.size(), result.data(), nullptr);
    // Without a result every token would be equal.
    if (done == nullptr)
        return randomHex(result.size());
    return toHex(result);
}

std::string derivePasswordHash(std::string_view password, std::string_view salt,
                               std::uint32_t iterations)
{
    sha256_bytes result{};
    const int done =
        PKCS5_PBKDF2_HMAC(password.data(), static_cast<int>(password.size()), toBytes(salt),
                          static_cast<int>(salt.size()), static_cast<int>(iterations), EVP_sha256(),
                          static_cast<int>(result.size()), result.data());
    return done == 1 ? toHex(result) : randomHex(result.size());
}

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> result(bytes);
    const int done = RAND_bytes(result.data(), static_cast<int>(bytes));
    assert(done == 1);
    static_cast<void>(done);
    return toHex(result);
}

} // namespace waxwing
