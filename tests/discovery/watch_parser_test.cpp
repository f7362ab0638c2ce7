// Tests the parser of watch responses with input split at random positions.
#include <gtest/gtest.h>

#include <cstddef>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "src/discovery/watch_response_parser.hpp"

namespace tulipyoke::net {
namespace {

// The parser returns complete values wherever the response is split.
TEST(WatchResponseParser, FindsTheSameValuesForRandomSplits) {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string response = head + "5\r\n{\"a\":\r\n4\r\n1}\n\n\r\n7\r\n{\"b\":2}\r\n1\r\n\n\r\n";
  for (unsigned seed = 0; seed < 60; ++seed) {
    std::mt19937 random(seed);
    discovery::WatchResponseParser parser;
    std::vector<std::string> values;
    for (std::size_t offset = 0; offset < response.size();) {
      const std::size_t size = std::min<std::size_t>(response.size() - offset, 1 + random() % 12);
      EXPECT_TRUE(parser.Feed(std::string_view(response).substr(offset, size), values));
      offset += size;
    }
    EXPECT_EQ(values, (std::vector<std::string>{"{\"a\":1}", "", "{\"b\":2}"}));
    EXPECT_FALSE(parser.Feed("0\r\n\r\n", values));
  }
  std::vector<std::string> values;
  EXPECT_FALSE(discovery::WatchResponseParser().Feed("HTTP/1.1 503 Down\r\n\r\n", values));
  EXPECT_FALSE(discovery::WatchResponseParser().Feed("garbage", values));
}

}  // namespace
}  // namespace tulipyoke::net
