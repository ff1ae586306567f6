#include "chivecrank/configuration/codec.h"

#include <boost/test/unit_test.hpp>

#include "tests/sample.h"

namespace chivecrank::configuration {

BOOST_AUTO_TEST_SUITE(codec_suite)

BOOST_AUTO_TEST_CASE(SnapshotIsUnchangedAfterDecodingAndEncoding) {
  snapshot accepted;
  accepted.revision = 7;
  accepted.author = "mere";
  accepted.content = SampleContent();
  const std::string text = EncodeSnapshot(accepted);
  const auto decoded = DecodeSnapshot(text);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(EncodeSnapshot(decoded.value()) == text);
}

BOOST_AUTO_TEST_CASE(SnapshotOfUnknownFormatIsCorrupt) {
  const auto decoded = DecodeSnapshot("{\"format\":9,\"content\":{}}");
  BOOST_TEST((decoded.error().kind == base::error_kind::kCorrupt));
}

BOOST_AUTO_TEST_CASE(DecodingErrorNamesTheInvalidOrUnknownKey) {
  const auto wrong_type =
      http::ParseObject("{\"jobs\":[{\"name\":\"a\",\"gang_size\":\"x\"}]}");
  const auto unknown = http::ParseObject("{\"jobz\":[]}");
  BOOST_TEST(DecodeContent(wrong_type.value()).error().message ==
             "jobs[0].gang_size must be an integer");
  BOOST_TEST(DecodeContent(unknown.value()).error().message ==
             "jobz is not a known key");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::configuration
