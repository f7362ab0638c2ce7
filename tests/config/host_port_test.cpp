// Tests the parsing of addresses with ports.
#include "src/config/host_port.hpp"

#include <gtest/gtest.h>

#include <stdexcept>

namespace tulipyoke {
namespace {

TEST(HostPort, SplitsAtTheLastColonAndRejectsInvalidAddresses) {
  for (const char* address : {"", "x", ":1", "h:", "h:70000", "h:1x"}) {
    EXPECT_FALSE(ParseHostPort(address)) << address;
    EXPECT_THROW(ParseHostPortOrThrow(address), std::runtime_error) << address;
  }
  EXPECT_EQ(ParseHostPortOrThrow("127.0.0.1:80").port, 80);
  const std::optional<HostPort> parsed = ParseHostPort("::1:5432");
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->host, "::1");
  EXPECT_EQ(parsed->port, 5432);
}

}  // namespace
}  // namespace tulipyoke
