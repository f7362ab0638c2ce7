// The body of a watch on the registry, split anywhere.
#include <gtest/gtest.h>

#include <cstddef>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "src/discovery/watch_response_parser.hpp"

namespace tulipyoke::net {
namespace {

// Lines come out complete wherever the response is split.
TEST(WatchResponseParser, RandomCutsGiveTheSameLines) {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string answer = head + "5\r\n{\"a\":\r\n4\r\n1}\n\n\r\n7\r\n{\"b\":2}\r\n1\r\n\n\r\n";
  for (unsigned seed = 0; seed < 60; ++seed) {
    std::mt19937 random(seed);
    discovery::WatchResponseParser parser;
    std::vector<std::string> lines;
    for (std::size_t at = 0; at < answer.size();) {
      const std::size_t size = std::min<std::size_t>(answer.size() - at, 1 + random() % 12);
      EXPECT_TRUE(parser.Feed(std::string_view(answer).substr(at, size), lines));
      at += size;
    }
    EXPECT_EQ(lines, (std::vector<std::string>{"{\"a\":1}", "", "{\"b\":2}"}));
    EXPECT_FALSE(parser.Feed("0\r\n\r\n", lines));
  }
  std::vector<std::string> lines;
  EXPECT_FALSE(discovery::WatchResponseParser().Feed("HTTP/1.1 503 Down\r\n\r\n", lines));
  EXPECT_FALSE(discovery::WatchResponseParser().Feed("garbage", lines));
}

}  // namespace
}  // namespace tulipyoke::net
