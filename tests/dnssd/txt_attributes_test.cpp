// The attributes in TXT records.
#include "src/dnssd/txt_attributes.hpp"

#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

namespace tulipyoke::dnssd {
namespace {

// The key that a rejected record is rejected for.
std::string FaultyKey(const TxtData& txt) {
  const auto parsed = ParseTxtAttributes(txt);
  const auto* fault = std::get_if<TxtFault>(&parsed);
  return fault ? fault->key : "none";
}

TEST(TxtAttributes, KeysHaveDefaultsAndFaultsNameTheKey) {
  const auto parsed =
      ParseTxtAttributes({{"GROUP=7", "group=8", "unknown=1", "novalue", "=x", "role=primary"}});
  ASSERT_TRUE(std::holds_alternative<TxtAttributes>(parsed));
  const auto& attributes = std::get<TxtAttributes>(parsed);
  EXPECT_EQ(attributes.group, 7);  // the first one, whatever its case
  EXPECT_TRUE(attributes.primary);
  EXPECT_EQ(attributes.size, 1);
  EXPECT_EQ(FaultyKey({{"started=yesterday"}}), "started");
  EXPECT_EQ(FaultyKey({{"id=two words"}}), "id");
  EXPECT_EQ(FaultyKey({std::vector<std::string>(10, std::string(200, 'x'))}), "TXT");
}

}  // namespace
}  // namespace tulipyoke::dnssd
