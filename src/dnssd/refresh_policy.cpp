#include "src/dnssd/refresh_policy.hpp"

#include <algorithm>

namespace tulipyoke::dnssd {
namespace {

// An absence without a TTL of its own is cached for so many poll intervals.
constexpr int kPollsPerAbsence = 20;
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

RefreshPolicy::RefreshPolicy(const BrowserOptions& options)
    : refresh_fraction_(options.refresh_fraction),
      min_refresh_(options.min_refresh),
      max_refresh_(options.max_refresh),
      absence_delay_(options.poll_interval * kPollsPerAbsence) {}

Micros RefreshPolicy::DelayForTtl(std::uint32_t ttl_seconds) const {
  const auto delay = static_cast<Micros>(refresh_fraction_ * kMicrosPerSecond * ttl_seconds);
  return std::clamp(delay, min_refresh_, max_refresh_);
}

Micros RefreshPolicy::DelayForRecords(const std::vector<Record>& records) const {
  if (records.empty()) return absence_delay_;
  std::uint32_t ttl = records.front().ttl;
  for (const Record& record : records) ttl = std::min(ttl, record.ttl);
  return DelayForTtl(ttl);
}

}  // namespace tulipyoke::dnssd
