// Service instances: the choice among SRV records.
#include "src/dnssd/instance.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace tulipyoke::dnssd {
namespace {

TEST(SelectService, AllRoutersSelectTheSameService) {
  const std::vector<SrvData> services = {{1, 9, 1, "a."}, {0, 1, 2, "b."}, {0, 5, 3, "c."}, {0, 5, 3, "bb."}};
  EXPECT_EQ(SelectService(services)->target, "bb.");
  EXPECT_FALSE(SelectService({}));
}

}  // namespace
}  // namespace tulipyoke::dnssd
