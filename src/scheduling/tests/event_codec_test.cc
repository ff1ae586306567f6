#include "chivecrank/scheduling/event_codec.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::scheduling {

BOOST_AUTO_TEST_SUITE(event_codec_suite)

BOOST_AUTO_TEST_CASE(EventsRoundTrip) {
  task_request request;
  request.id = "a";
  request.demand = {1, 2, 3};
  request.urgent = true;
  const event events[] = {
      task_accepted{request}, attempt_started{"a", 1, "w-1"},
      attempt_ended{"a", 1, attempt_outcome::kLost}, task_cancelled{"a"}};
  for (const event& recorded : events) {
    const auto encoded = EncodeEvent(recorded);
    const auto decoded = DecodeEvent(encoded);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(http::ToText(EncodeEvent(decoded.value())) ==
               http::ToText(encoded));
  }
}

BOOST_AUTO_TEST_CASE(RefusesUnknownKinds) {
  const auto encoded = http::ParseObject(R"({"kind":"x","task":"a"})");
  BOOST_TEST((DecodeEvent(encoded.value()).error().kind ==
              base::error_kind::kCorrupt));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::scheduling
