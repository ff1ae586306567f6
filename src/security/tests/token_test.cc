#include "chivecrank/security/token.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::security {

BOOST_AUTO_TEST_SUITE(token_suite)

BOOST_AUTO_TEST_CASE(HashIsSha256InHexadecimal) {
  BOOST_TEST(
      HashToken("abc") ==
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(EqualHashesRequiresSameContentAndLength) {
  const std::string hash = HashToken("abc");
  BOOST_TEST(EqualHashes(hash, HashToken("abc")));
  BOOST_TEST(!EqualHashes(hash, HashToken("abd")));
  BOOST_TEST(!EqualHashes(hash, hash.substr(1)));
}

BOOST_AUTO_TEST_CASE(BearerTokenIsEmptyForOtherAuthorizationSchemes) {
  BOOST_TEST(BearerToken("Bearer x y") == "x y");
  BOOST_TEST(BearerToken("Basic x").empty());
  BOOST_TEST(BearerToken("").empty());
}

BOOST_AUTO_TEST_CASE(IsTokenHashRequires64LowerCaseHexadecimalDigits) {
  BOOST_TEST(IsTokenHash(HashToken("")));
  BOOST_TEST(!IsTokenHash("secret"));
  BOOST_TEST(!IsTokenHash(std::string(64, 'X')));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::security
