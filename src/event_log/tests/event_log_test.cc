#include <boost/test/unit_test.hpp>

#include <string>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/event_log/event_log.h"
#include "chivecrank/json/reader.h"

namespace chivecrank::event_log {
namespace {

/// A log whose sink accepts at most `capacity` more bytes.
struct fixture {
  event_log Make(log_settings settings) {
    return {clock, "one", settings, [this](std::string_view bytes) {
              const std::size_t accepted = std::min(bytes.size(), capacity);
              capacity -= accepted;
              output.append(bytes.substr(0, accepted));
              return accepted;
            }};
  }

  base::manual_clock clock;
  std::size_t capacity = 1 << 20;
  std::string output;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(event_lines, fixture)

BOOST_AUTO_TEST_CASE(LineContainsTheFieldsOfItsEvent) {
  event_log log = Make({});
  log.Write("start", {{"version", "1"}, {"count", 3}, {"ready", false}});
  log.Flush();
  const auto parsed = json::ParseObject(output);
  BOOST_REQUIRE(parsed);
  BOOST_TEST(json::StringOf(parsed.value(), "event") == "start");
  BOOST_TEST(json::StringOf(parsed.value(), "instance") == "one");
  BOOST_TEST(json::IntegerOf(parsed.value(), "count") == 3);
  BOOST_TEST(!json::BooleanOf(parsed.value(), "ready", true));
}

BOOST_AUTO_TEST_CASE(LinesBeyondTheRateLimitAreCountedInALine) {
  event_log log = Make({.lines_per_event = 2});
  for (int i = 0; i < 5; ++i)
    log.Write("busy", {});
  clock.Advance(std::chrono::seconds(1));
  log.Flush();
  BOOST_TEST(log.DroppedLines() == 3u);
  BOOST_TEST(output.find(R"("event":"lines_left_out","of":"busy","count":3)") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(BlockedSinkDropsLinesWithoutBlockingTheLog) {
  event_log log = Make({.lines_per_event = 1000, .buffer_bytes = 300});
  capacity = 0;
  for (int i = 0; i < 100; ++i) {
    log.Write("busy", {});
    log.Flush();
  }
  BOOST_TEST(output.empty());
  BOOST_TEST(log.DroppedLines() > 90u);
  capacity = 1 << 20;
  clock.Advance(std::chrono::seconds(1));
  log.Flush();
  clock.Advance(std::chrono::seconds(1));
  log.Flush();
  BOOST_TEST(output.find("buffer_full") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::event_log
