// Tests of parsing requests to the admin server and serializing its responses, without sockets.
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

// The result does not depend on where the bytes of a request are split.
TEST(HttpRequestParser, ParsesRequestsHoweverTheyAreSplit) {
  const std::string request =
      "POST /control/in-service?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
  for (unsigned seed = 0; seed < 60; ++seed) {
    std::mt19937 random(seed);
    HttpRequestParser parser;
    for (std::size_t offset = 0; offset < request.size();) {
      const std::size_t size = std::min<std::size_t>(request.size() - offset, 1 + random() % 20);
      offset += size;
      EXPECT_EQ(parser.Feed(request.substr(offset - size, size)),
                offset == request.size() ? Progress::kComplete : Progress::kIncomplete);
    }
    EXPECT_EQ(parser.method(), "POST");
    EXPECT_EQ(parser.Path(), "/control/in-service");
    EXPECT_EQ(parser.Feed("GET /"), Progress::kComplete);  // one request per connection
  }
}

// The parser rejects malformed requests, and headers that exceed the size limit.
TEST(HttpRequestParser, RejectsMalformedAndOversizedRequests) {
  EXPECT_EQ(HttpRequestParser().Feed("no call\r\n\r\n"), Progress::kMalformed);
  EXPECT_EQ(HttpRequestParser().Feed(std::string("\0\0\0\10\4\xd2\x16\x2f", 8)), Progress::kMalformed);
  HttpRequestParser oversized_request_parser;
  Progress progress = oversized_request_parser.Feed("GET / HTTP/1.1\r\n");
  for (int header = 0; header < 2000 && progress == Progress::kIncomplete; ++header)
    progress = oversized_request_parser.Feed("A: b\r\n");
  EXPECT_EQ(progress, Progress::kMalformed);
  for (unsigned seed = 0; seed < 60; ++seed) {
    std::mt19937 random(seed);
    HttpRequestParser parser;
    std::string bytes(9000, '\0');
    for (char& byte : bytes) byte = static_cast<char>(random());
    EXPECT_EQ(parser.Feed(bytes), Progress::kMalformed);
  }
}

TEST(AdminResponse, SerializesLengthAndAllowedMethod) {
  EXPECT_EQ(SerializeHttpResponse({HTTP_STATUS_METHOD_NOT_ALLOWED, "no\n", "GET"}),
            "HTTP/1.1 405 Method Not Allowed\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n"
            "Allow: GET\r\nConnection: close\r\n\r\nno\n");
}

}  // namespace
}  // namespace tulipyoke::net
