// Tests the quota of descriptors and memory of a single process and of two processes of the same router.
#include "src/server/resource_quota.hpp"

#include <gtest/gtest.h>

#include <cstddef>

namespace tulipyoke::net {
namespace {

Config MakeConfig(int descriptors, std::size_t memory_bytes) {
  Config config;
  config.max_sockets = descriptors;
  config.memory_bytes = memory_bytes;
  return config;
}

constexpr std::size_t kMemoryBytes = std::size_t{64} << 20;

TEST(ResourceQuota, SingleProcess) {
  const ResourceQuota quota = QuotaFor(MakeConfig(256, kMemoryBytes), kFullShare);
  EXPECT_EQ(quota.clients.max_clients, 114u);
  EXPECT_EQ(quota.clients.max_open_requests, 51u);
  EXPECT_EQ(quota.clients.eviction_threshold, 64u);
  EXPECT_EQ(quota.clients.max_buffered_bytes, std::size_t{8} << 20);
  EXPECT_EQ(quota.clients.large_statement_bytes, std::size_t{24} << 20);
  EXPECT_EQ(quota.server_connections, 94u);
}

TEST(ResourceQuota, OneOfTwoProcesses) {
  const ResourceQuota quota = QuotaFor(MakeConfig(256, kMemoryBytes), 0.5);
  EXPECT_EQ(quota.clients.max_clients, 44u);
  EXPECT_EQ(quota.clients.max_open_requests, 25u);
  EXPECT_EQ(quota.clients.eviction_threshold, 44u);
  EXPECT_EQ(quota.clients.max_buffered_bytes, std::size_t{4} << 20);
  EXPECT_EQ(quota.clients.large_statement_bytes, std::size_t{12} << 20);
  EXPECT_EQ(quota.server_connections, 36u);
}

// With few descriptors, half of them are used for connections, even though the process reserves more than
// that for itself.
TEST(ResourceQuota, SingleProcessWithFewDescriptors) {
  const ResourceQuota quota = QuotaFor(MakeConfig(64, kMemoryBytes), kFullShare);
  EXPECT_EQ(quota.clients.max_clients, 17u);
  EXPECT_EQ(quota.clients.max_open_requests, 12u);
  EXPECT_EQ(quota.clients.eviction_threshold, 16u);
  EXPECT_EQ(quota.server_connections, 15u);
}

}  // namespace
}  // namespace tulipyoke::net
