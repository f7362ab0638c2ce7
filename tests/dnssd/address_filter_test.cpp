// Blocks of addresses.
#include "src/dnssd/address_filter.hpp"

#include <gtest/gtest.h>

#include <stdexcept>

namespace tulipyoke::dnssd {
namespace {

TEST(AddressBlock, ContainsTheAddressesOfItsPrefix) {
  const AddressBlock block("10.128.0.0/9"), v6("fd00::/8"), all("0.0.0.0/0");
  EXPECT_TRUE(block.Contains("10.128.0.1"));
  EXPECT_FALSE(block.Contains("10.127.255.255"));
  EXPECT_FALSE(block.Contains("fd00::1"));
  EXPECT_TRUE(v6.Contains("fd12::1"));
  EXPECT_TRUE(all.Contains("1.2.3.4"));
  for (const char* text : {"10.0.0.0", "10.0.0.0/33", "x/8", "10.0.0.0/"}) {
    EXPECT_THROW(AddressBlock{text}, std::invalid_argument) << text;
  }
}

}  // namespace
}  // namespace tulipyoke::dnssd
