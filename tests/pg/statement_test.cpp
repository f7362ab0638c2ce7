// Parsing of statements, and the rejection of unsupported ones.
#include "src/pg/statement.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <string_view>

#include "src/dispatch/dispatcher.hpp"

namespace tulipyoke::pg {
namespace {

constexpr std::string_view kSelect =
    "SELECT blob FROM rows WHERE handle = '7f3a' /* "
    "id=9b1f,c=basket,t=acme,d=480,cluster=2,after=1767225600123 */";

TEST(Statement, FieldsAreParsedAndOnlyTheTimeoutIsReplaced) {
  const auto s = ParseStatement(kSelect);
  ASSERT_TRUE(s);
  EXPECT_EQ(s->class_name, "basket");
  EXPECT_EQ(s->tenant, "acme");
  EXPECT_EQ(s->key, "7f3a");
  EXPECT_EQ(s->timeout_ms, 480);
  EXPECT_EQ(s->cluster, 2);
  EXPECT_EQ(s->last_write_unix_ms, 1767225600123);
  EXPECT_FALSE(s->is_retry);
  const RequestPayload payload{std::string(kSelect), s->timeout_offset, s->timeout_size};
  std::string expected(kSelect);
  expected.replace(expected.find("480"), 3, "77");
  EXPECT_EQ(std::string(payload.BeforeTimeout()) + "77" + std::string(payload.AfterTimeout()), expected);
  const auto insert = ParseStatement(
      "INSERT INTO rows (handle, blob) VALUES ('k1', '\\x9f03') RETURNING blob /* id=1,c=w,t=,d=5,k=5c0f,r=1 "
      "*/ ; ");
  ASSERT_TRUE(insert);
  EXPECT_EQ(insert->key, "k1");
  EXPECT_EQ(insert->idempotency_key, "5c0f");
  EXPECT_TRUE(insert->is_retry);
}

// Guards against forwarding a statement that does not have one of the supported forms.
TEST(Statement, UnsupportedFormsAreRejected) {
  const std::string select = "SELECT blob FROM rows WHERE handle = 'h' ";
  const std::string insert = "INSERT INTO rows (handle, blob) VALUES ('h', '\\x00') RETURNING blob ";
  const std::string comment = "/* id=1,c=a,d=5 */";
  EXPECT_TRUE(ParseStatement(select + comment));
  EXPECT_FALSE(ParseStatement(select + comment)->is_write);
  EXPECT_TRUE(ParseStatement(insert + comment)->is_write);
  for (const std::string& text :
       {std::string(),
        std::string("SELECT 1"),
        std::string("/* */"),
        std::string("/*/"),
        std::string("*/"),
        select,
        comment,
        "S " + comment,
        "DROP TABLE rows " + comment,
        select + "; DROP TABLE rows " + comment,
        "SELECT blob FROM rows WHERE handle = 'h " + comment,
        "SELECT blob FROM rows WHERE handle = '' " + comment,
        "INSERT INTO rows (handle, blob) VALUES ('h', 'zz') RETURNING blob " + comment,
        "INSERT INTO rows (handle, blob) VALUES ('h', '\\x0') RETURNING blob " + comment,
        select + "/* id=1,c=a */",
        select + "/* c=a,d=5 */",
        select + "/* id=,c=a,d=5 */",
        select + "/* id=1,d=5 */",
        select + "/* id=1,c=a,d=-5 */",
        select + "/* id=1,c=a,d= */",
        select + "/* id=1,c=a,d=99999999999999999999 */",
        select + "/* id=1,c=a,d=5x */",
        select + "/* id=1,c=a,d=5,cluster=x */",
        select + "/* id=1,id=2,c=a,d=5 */",
        select + "/* id=1\x01,c=a,d=5 */",
        select + "/* id=1,c=a,d=5 */ x"}) {
    EXPECT_FALSE(ParseStatement(text)) << text;
  }
  for (unsigned seed = 0; seed < 2000; ++seed) {
    std::mt19937 random(seed);
    std::string text(kSelect);
    for (int i = 0; i < 4; ++i) text[random() % text.size()] = static_cast<char>(random());
    const auto s = ParseStatement(text);
    EXPECT_TRUE(!s || s->timeout_offset + s->timeout_size <= text.size()) << text;
  }
}

}  // namespace
}  // namespace tulipyoke::pg
