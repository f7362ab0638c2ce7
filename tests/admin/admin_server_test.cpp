// What the admin server reads and answers; no sockets.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <random>
#include <string>

#include "src/admin/admin_response.hpp"
#include "src/admin/http_request_parser.hpp"

namespace tulipyoke::net {
namespace {

using Progress = HttpRequestParser::Progress;

// A request is parsed the same way wherever its bytes are split.
TEST(HttpRequestParser, ParsesRequestsHoweverTheyAreSplit) {
  const std::string call = "POST /control/in-service?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
  for (unsigned seed = 0; seed < 60; ++seed) {
    std::mt19937 random(seed);
    HttpRequestParser parser;
    for (std::size_t at = 0; at < call.size();) {
      const std::size_t size = std::min<std::size_t>(call.size() - at, 1 + random() % 20);
      at += size;
      EXPECT_EQ(parser.Feed(call.substr(at - size, size)),
                at == call.size() ? Progress::kComplete : Progress::kIncomplete);
    }
    EXPECT_EQ(parser.method(), "POST");
    EXPECT_EQ(parser.Path(), "/control/in-service");
    EXPECT_EQ(parser.Feed("GET /"), Progress::kComplete);  // one call a connection
  }
}

// Malformed requests, and headers without end, are given up on.
TEST(HttpRequestParser, RejectsMalformedAndOversizedRequests) {
  EXPECT_EQ(HttpRequestParser().Feed("no call\r\n\r\n"), Progress::kMalformed);
  EXPECT_EQ(HttpRequestParser().Feed(std::string("\0\0\0\10\4\xd2\x16\x2f", 8)), Progress::kMalformed);
  HttpRequestParser endless;
  Progress progress = endless.Feed("GET / HTTP/1.1\r\n");
  for (int line = 0; line < 2000 && progress == Progress::kIncomplete; ++line)
    progress = endless.Feed("A: b\r\n");
  EXPECT_EQ(progress, Progress::kMalformed);
  for (unsigned seed = 0; seed < 60; ++seed) {
    std::mt19937 random(seed);
    HttpRequestParser parser;
    std::string bytes(9000, '\0');
    for (char& c : bytes) c = static_cast<char>(random());
    EXPECT_EQ(parser.Feed(bytes), Progress::kMalformed);
  }
}

TEST(AdminResponse, SerializesLengthAndAllowedMethod) {
  EXPECT_EQ(ToHttp({HTTP_STATUS_METHOD_NOT_ALLOWED, "no\n", "GET"}),
            "HTTP/1.1 405 Method Not Allowed\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n"
            "Allow: GET\r\nConnection: close\r\n\r\nno\n");
}

}  // namespace
}  // namespace tulipyoke::net
