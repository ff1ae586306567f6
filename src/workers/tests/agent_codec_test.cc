#include "chivecrank/workers/agent_codec.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::workers {

BOOST_AUTO_TEST_SUITE(agent_codec_suite)

BOOST_AUTO_TEST_CASE(StartRoundTrips) {
  start_command command;
  command.epoch = 3;
  command.attempt = {"t-1", 2};
  command.demand = {1000, 2000, 1};
  command.lease = std::chrono::milliseconds(5000);
  const start_command decoded = DecodeStart(EncodeStart(command));
  BOOST_TEST(decoded.epoch == 3U);
  BOOST_TEST((decoded.attempt == command.attempt));
  BOOST_TEST((decoded.demand == command.demand));
  BOOST_TEST((decoded.lease == command.lease));
}

BOOST_AUTO_TEST_CASE(InventoryRefusesUnknownStates) {
  const auto encoded = http::ParseObject(
      R"({"attempts":[{"task":"a","attempt":1,"state":"gone"}]})");
  BOOST_TEST(!DecodeInventory(encoded.value()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::workers
