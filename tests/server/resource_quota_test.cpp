// The quota of descriptors and memory, alone and beside another process of the same router.
#include "src/server/resource_quota.hpp"

#include <gtest/gtest.h>

#include <cstddef>

namespace tulipyoke::net {
namespace {

Config ConfigOf(int sockets, std::size_t memory_bytes) {
  Config config;
  config.max_sockets = sockets;
  config.memory_bytes = memory_bytes;
  return config;
}

constexpr std::size_t kMemory = std::size_t{64} << 20;

TEST(ResourceQuota, OfAProcessThatIsAlone) {
  const ResourceQuota quota = QuotaFor(ConfigOf(256, kMemory), kFullShare);
  EXPECT_EQ(quota.clients.max_clients, 114u);
  EXPECT_EQ(quota.clients.max_open_requests, 51u);
  EXPECT_EQ(quota.clients.eviction_threshold, 64u);
  EXPECT_EQ(quota.clients.max_buffered_bytes, std::size_t{8} << 20);
  EXPECT_EQ(quota.clients.large_statement_bytes, std::size_t{24} << 20);
  EXPECT_EQ(quota.server_connections, 94u);
}

TEST(ResourceQuota, OfEachOfTwoProcesses) {
  const ResourceQuota quota = QuotaFor(ConfigOf(256, kMemory), 0.5);
  EXPECT_EQ(quota.clients.max_clients, 44u);
  EXPECT_EQ(quota.clients.max_open_requests, 25u);
  EXPECT_EQ(quota.clients.eviction_threshold, 44u);
  EXPECT_EQ(quota.clients.max_buffered_bytes, std::size_t{4} << 20);
  EXPECT_EQ(quota.clients.large_statement_bytes, std::size_t{12} << 20);
  EXPECT_EQ(quota.server_connections, 36u);
}

// With few descriptors, half of them are for connections, although the process itself may use more.
TEST(ResourceQuota, OfAProcessWithFewDescriptors) {
  const ResourceQuota quota = QuotaFor(ConfigOf(64, kMemory), kFullShare);
  EXPECT_EQ(quota.clients.max_clients, 17u);
  EXPECT_EQ(quota.clients.max_open_requests, 12u);
  EXPECT_EQ(quota.clients.eviction_threshold, 16u);
  EXPECT_EQ(quota.server_connections, 15u);
}

}  // namespace
}  // namespace tulipyoke::net
