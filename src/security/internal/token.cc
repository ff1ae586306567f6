#include "chivecrank/security/token.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace chivecrank::security {
namespace {

constexpr std::size_t kHashDigits = std::size_t{2} * SHA256_DIGEST_LENGTH;
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::string_view kBearerPrefix = "Bearer ";

}  // namespace

std::string HashToken(std::string_view token) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(),
         digest.data());
  std::string text;
  text.reserve(kHashDigits);
  for (const unsigned char byte : digest) {
    text += kHexDigits[byte >> 4];
    text += kHexDigits[byte & 0xf];
  }
  return text;
}

bool IsTokenHash(std::string_view text) {
  return text.size() == kHashDigits &&
         text.find_first_not_of(kHexDigits) == std::string_view::npos;
}

bool EqualHashes(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view BearerToken(std::string_view authorization) {
  if (!authorization.starts_with(kBearerPrefix))
    return {};
  return authorization.substr(kBearerPrefix.size());
}

}  // namespace chivecrank::security
