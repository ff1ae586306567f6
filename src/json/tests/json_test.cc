#include <boost/test/unit_test.hpp>

#include "chivecrank/json/reader.h"
#include "chivecrank/json/writer.h"

namespace chivecrank::json {

BOOST_AUTO_TEST_SUITE(json_text)

BOOST_AUTO_TEST_CASE(WrittenObjectIsReadBackUnchanged) {
  writer text;
  text.BeginObject().Field("name", "a\"b").Field("count", 3).Flag("on", true);
  text.Key("rows").BeginArray().Integer(7).String("x").EndArray().EndObject();
  const auto parsed = ParseObject(text.Text());
  BOOST_REQUIRE(parsed);
  BOOST_TEST(StringOf(parsed.value(), "name") == "a\"b");
  BOOST_TEST(IntegerOf(parsed.value(), "count") == 3);
  BOOST_TEST(BooleanOf(parsed.value(), "on"));
  const value* rows = ArrayOf(parsed.value(), "rows");
  BOOST_REQUIRE(rows != nullptr);
  BOOST_TEST(IntegerAt(*rows, 0) == 7);
  BOOST_TEST(StringAt(*rows, 1) == "x");
  BOOST_TEST(IntegerAt(*rows, 5, -1) == -1);
}

BOOST_AUTO_TEST_CASE(MembersOfAnotherTypeYieldTheFallback) {
  const auto parsed = ParseObject(R"({"a":"text","b":4.0,"c":4.5})");
  BOOST_REQUIRE(parsed);
  BOOST_TEST(IntegerOf(parsed.value(), "a", 9) == 9);
  BOOST_TEST(IntegerOf(parsed.value(), "b", 9) == 4);
  BOOST_TEST(IntegerOf(parsed.value(), "c", 9) == 9);
  BOOST_TEST(NumberOf(parsed.value(), "c") == 4.5);
  BOOST_TEST(StringOf(parsed.value(), "missing", "none") == "none");
  BOOST_TEST((ArrayOf(parsed.value(), "a") == nullptr));
}

BOOST_AUTO_TEST_CASE(TextThatIsNotAJsonObjectIsRejected) {
  BOOST_TEST(!ParseObject("[1]"));
  BOOST_TEST(!ParseObject("{\"a\":"));
  BOOST_TEST(!ParseObject("\xff\xfe"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::json
