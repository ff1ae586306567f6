#include "chivecrank/workers/agent_codec.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::workers {

BOOST_AUTO_TEST_SUITE(agent_codec_suite)

BOOST_AUTO_TEST_CASE(SyncRoundTrips) {
  sync_command command;
  command.order = {3, 7, 6, "boot"};
  command.term = std::chrono::milliseconds(5000);
  command.position = 9;
  command.starts = {
      {{"t-1", 2}, "plan", {1000, 2000, 1}, {}, std::chrono::milliseconds(40)}};
  command.stops = {{{"t-2", 1}, true}};
  command.acknowledged = {{"t-3", 4}};
  const sync_command decoded = DecodeSync(EncodeSync(command));
  BOOST_TEST(decoded.order.epoch == 3U);
  BOOST_TEST(decoded.order.number == 7U);
  BOOST_TEST(decoded.order.last_answered == 6U);
  BOOST_TEST(decoded.order.incarnation == "boot");
  BOOST_TEST((decoded.term == command.term));
  BOOST_TEST(decoded.position == 9U);
  BOOST_REQUIRE(decoded.starts.size() == 1);
  BOOST_TEST((decoded.starts[0].attempt == command.starts[0].attempt));
  BOOST_TEST((decoded.starts[0].demand == command.starts[0].demand));
  BOOST_TEST(decoded.starts[0].saved.count() == 40);
  BOOST_REQUIRE(decoded.stops.size() == 1);
  BOOST_TEST(decoded.stops[0].save);
  BOOST_TEST((decoded.acknowledged == command.acknowledged));
}

BOOST_AUTO_TEST_CASE(ReportRefusesUnknownStates) {
  const auto encoded = http::ParseObject(
      R"({"incarnation":"b","attempts":[{"task":"a","attempt":1,"state":"gone"}]})");
  BOOST_TEST(!DecodeReport(encoded.value()).has_value());
}

BOOST_AUTO_TEST_CASE(ReportWithoutIncarnationIsRefused) {
  BOOST_TEST(!DecodeReport(http::ParseObject("{}").value()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::workers
