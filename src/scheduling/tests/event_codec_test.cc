#include "chivecrank/scheduling/event_codec.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::scheduling {

BOOST_AUTO_TEST_SUITE(event_codec_suite)

BOOST_AUTO_TEST_CASE(EncodedEventDecodesToTheSameEvent) {
  task_request request;
  request.id = "a";
  request.demand = {1, 2, 3};
  request.urgent = true;
  request.gang = "g";
  request.due = base::wall_time(std::chrono::hours(1));
  const event events[] = {
      task_accepted{request},
      attempt_started{"a", 1, "w-1"},
      attempt_started{"a", 1, "w-1", coordination::resources{1, 2, 3}},
      attempt_confirmed{"a", 1},
      attempt_throttled{"a", 1, true},
      checkpoint_ordered{"a", 1},
      attempt_ended{"a", 1, attempt_outcome::kLost},
      attempt_ended{"a", 1, attempt_outcome::kCrashed,
                    std::chrono::milliseconds(7)},
      task_parked{"a", "fails"},
      task_released{"a"},
      task_cancelled{"a"}};
  for (const event& recorded : events) {
    const auto encoded = EncodeEvent(recorded);
    const auto decoded = DecodeEvent(encoded);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(http::ToText(EncodeEvent(decoded.value())) ==
               http::ToText(encoded));
  }
}

BOOST_AUTO_TEST_CASE(EventOfTheFirstFormatDecodesWithDefaults) {
  const auto encoded = http::ParseObject(
      R"({"kind":"task_accepted","task":"a","processors_milli":5,"urgent":true})");
  const auto decoded = DecodeEvent(encoded.value());
  BOOST_REQUIRE(decoded.has_value());
  const auto& request = std::get<task_accepted>(decoded.value()).request;
  BOOST_TEST(request.demand.processors_milli == 5);
  BOOST_TEST((request.kind == task_kind::kBatch));
  BOOST_TEST(request.gang_size == 1);
}

BOOST_AUTO_TEST_CASE(UnknownKindIsRejected) {
  const auto encoded = http::ParseObject(R"({"kind":"x","task":"a"})");
  BOOST_TEST((DecodeEvent(encoded.value()).error().kind ==
              base::error_kind::kCorrupt));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::scheduling
