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
// Parts of a drain's grace that an agent's silence may take, and what a try needs at least and is given at
// most.
constexpr Micros kGapParts = 8, kLeastGap = 10'000;
constexpr Micros kAnswerParts = 2, kLeastAnswer = 100'000, kMostAnswer = 1'000'000;

}  // namespace

ListPace::ListPace(const Settings& settings, std::uint64_t seed) : random_(seed) {
  first_ = kFirstRetry;
  if (!settings.poll_endpoint_list) {
    if (settings.drain_timeout > 0)
      first_ = std::clamp(settings.drain_timeout / kGapParts, kLeastGap, kFirstRetry);
    answered_within_ = settings.drain_timeout > 0
                           ? std::clamp(settings.drain_timeout / kAnswerParts, kLeastAnswer, kMostAnswer)
                           : kMostAnswer;
    return;
  }
  most_doublings_ = kMostDoublings;
  most_ = kLongest * std::max<Micros>(settings.max_list_age, 0);
  spread_ = std::min(kGap * std::max(settings.router_count, 1), most_);
}

Micros ListPace::AfterFailure() {
  const int doublings = std::min(failures_++, most_doublings_);
  const Micros spread = std::min(spread_ << doublings, most_);
  return (first_ << doublings) + std::uniform_int_distribution<Micros>(0, spread)(random_);
}

}  // namespace tulipyoke::limits
