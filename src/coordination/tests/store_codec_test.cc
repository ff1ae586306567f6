#include "chivecrank/coordination/store_codec.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::coordination {

BOOST_AUTO_TEST_SUITE(store_codec_suite)

BOOST_AUTO_TEST_CASE(InstanceIsUnchangedAfterEncodingAndDecoding) {
  instance entry;
  entry.id = "w-1";
  entry.state = instance_state::kLeaving;
  entry.failure_domain = "viti-suva";
  entry.rack = "r1";
  entry.capacity = {16'000, 60'000, 2};
  entry.slots = 8;
  entry.connections = 64;
  entry.service = {"127.0.0.1", 8000};
  const auto decoded = DecodeInstance(EncodeInstance(entry));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded.value().id == entry.id);
  BOOST_TEST((decoded.value().state == entry.state));
  BOOST_TEST((decoded.value().capacity == entry.capacity));
  BOOST_TEST((decoded.value().service == entry.service));
}

BOOST_AUTO_TEST_CASE(InstanceWithoutAnIdIsRejected) {
  const auto decoded = DecodeInstance(new Poco::JSON::Object);
  BOOST_TEST((decoded.error().kind == base::error_kind::kInvalidArgument));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::coordination
