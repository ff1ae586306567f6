#ifndef CHIVECRANK_SECURITY_TOKEN_H_
#define CHIVECRANK_SECURITY_TOKEN_H_

#include <string>
#include <string_view>

/// Bearer tokens of client accounts and operators. Only their hashes are
/// stored.
namespace chivecrank::security {

/// Returns the SHA-256 hash of a token as 64 lower-case hexadecimal digits.
std::string HashToken(std::string_view token);

/// Whether the text has the form that HashToken returns.
bool IsTokenHash(std::string_view text);

/// Compares two hashes in constant time, so that the response time does not
/// reveal where they differ.
bool EqualHashes(std::string_view left, std::string_view right);

/// Returns the token of an "Authorization: Bearer TOKEN" header, empty if there
/// is none.
std::string_view BearerToken(std::string_view authorization);

}  // namespace chivecrank::security

#endif  // CHIVECRANK_SECURITY_TOKEN_H_
