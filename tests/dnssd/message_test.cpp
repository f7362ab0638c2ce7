// Parsing of DNS messages: damaged ones, compression chains, serial numbers.
#include "src/dnssd/message.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <random>
#include <string>

#include "standins/dns_zone.hpp"

namespace tulipyoke::dnssd {
namespace {

using standins::DnsZone;

constexpr const char* kZone = "derby.example.org";

std::string BytesOfAnAnswer() {
  DnsZone zone(kZone);
  zone.SetAdditional(true);
  zone.Publish({{"a", "127.0.0.1", 7001, {"group=1"}, 10, ""}, {"b", "127.0.0.1", 7002, {}, 10, ""}});
  return zone.Answer(0, EncodeQuery(7, {"_readings._tcp.derby.example.org.", RecordType::kPtr}), true).at(0);
}

// Truncated at every position, and changed at random from fixed seeds: no crash, no hang.
TEST(Message, TruncatedAndDamagedBytesAreParsedOrRejected) {
  const std::string whole = BytesOfAnAnswer();
  ASSERT_TRUE(ParseMessage(whole));
  for (std::size_t size = 0; size < whole.size(); ++size) EXPECT_FALSE(ParseMessage(whole.substr(0, size)));
  int read = 0;
  for (unsigned seed = 0; seed < 3000; ++seed) {
    std::mt19937 random(seed);
    std::string bytes = whole;
    for (int i = 0; i < 3; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
    read += ParseMessage(bytes) ? 1 : 0;
  }
  EXPECT_GT(read, 0);
  EXPECT_LT(read, 3000);
}

// A chain of compression pointers that ldns would follow for each of thousands of records.
TEST(Message, LongCompressionChainsAreRejectedEarly) {
  std::string bytes = BytesOfAnAnswer().substr(0, 12);
  bytes += std::string("\0\0\1\0\1", 5);  // the root, where all of them end
  std::size_t at = 12;
  while (bytes.size() < 16000) {
    const std::size_t here = bytes.size();
    bytes += static_cast<char>(0xc0 | (at >> 8));
    bytes += static_cast<char>(at & 0xff);
    at = here;
  }
  EXPECT_FALSE(ParseMessage(bytes));
}

TEST(Message, SerialsWrapAround) {
  EXPECT_TRUE(SerialBefore(1, 2));
  EXPECT_FALSE(SerialBefore(2, 1));
  EXPECT_FALSE(SerialBefore(2, 2));
  EXPECT_TRUE(SerialBefore(0xfffffff0u, 5));
  EXPECT_FALSE(SerialBefore(5, 0xfffffff0u));
}

}  // namespace
}  // namespace tulipyoke::dnssd
