#include "src/limits/list_pace.hpp"

#include <algorithm>

namespace tulipyoke::limits {
namespace {

constexpr Micros kFirstRetry = 100'000;
constexpr int kMostDoublings = 4;
// The tries of all routers together: one in that time at first, half as often with each failure. At the
// longest they are spread over twice the time within which each has to ask; after a failed call it has four
// times that.
constexpr Micros kGap = 50'000;
constexpr Micros kLongest = 2;

}  // namespace

ListPace::ListPace(const Settings& settings, std::uint64_t seed) : random_(seed) {
  if (!settings.ask_for_list) return;
  most_ = kLongest * std::max<Micros>(settings.ask_within, 0);
  spread_ = std::min(kGap * std::max(settings.gateways, 1), most_);
}

Micros ListPace::AfterFailure() {
  const int doublings = std::min(failures_++, kMostDoublings);
  const Micros spread = std::min(spread_ << doublings, most_);
  return (kFirstRetry << doublings) + std::uniform_int_distribution<Micros>(0, spread)(random_);
}

}  // namespace tulipyoke::limits
