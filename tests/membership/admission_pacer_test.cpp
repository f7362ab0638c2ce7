// Tests the token bucket and the admission queues of AdmissionPacer.
#include "src/membership/admission_pacer.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace tulipyoke::membership {
namespace {

constexpr Micros kSecond = 1'000'000;

AdmissionOptions MakeOptions(double burst, double rate_per_second) {
  AdmissionOptions options;
  options.burst = burst;
  options.rate_per_second = rate_per_second;
  return options;
}

std::size_t TenInService(int) { return 10; }

TEST(AdmissionPacer, AdmitsABurstImmediatelyAndThenAtTheConfiguredRate) {
  AdmissionPacer pacer(MakeOptions(2, 4));
  for (const char* id : {"a", "b", "c", "d"}) pacer.Enqueue(id, 0);
  EXPECT_EQ(pacer.AdmitNext(kSecond, TenInService), "a");
  EXPECT_EQ(pacer.AdmitNext(kSecond, TenInService), "b");
  EXPECT_EQ(pacer.AdmitNext(kSecond, TenInService), std::nullopt);
  EXPECT_EQ(pacer.NextDue(), kSecond + kSecond / 4);
  EXPECT_EQ(pacer.AdmitNext(kSecond + kSecond / 4, TenInService), "c");
  EXPECT_EQ(pacer.size(), 1u);
}

TEST(AdmissionPacer, AGroupBelowTheMinimumIsAdmittedWithoutAToken) {
  AdmissionPacer pacer(MakeOptions(1, 0.01));
  pacer.Enqueue("a", 0);
  pacer.Enqueue("b", 0);
  pacer.Enqueue("lone", 1);
  const auto in_service = [](int group) { return group == 0 ? std::size_t{5} : std::size_t{0}; };
  EXPECT_EQ(pacer.AdmitNext(kSecond, in_service), "lone");
  EXPECT_EQ(pacer.AdmitNext(kSecond, in_service), std::nullopt);
}

TEST(AdmissionPacer, ARemovedServerIsNotAdmittedAndAnEmptyQueueHasNoDueTime) {
  AdmissionPacer pacer(MakeOptions(2, 4));
  pacer.Enqueue("a", 0);
  pacer.Remove("a", 0);
  pacer.Remove("b", 3);  // was never queued
  EXPECT_EQ(pacer.AdmitNext(kSecond, TenInService), std::nullopt);
  EXPECT_EQ(pacer.NextDue(), std::nullopt);
  EXPECT_EQ(pacer.size(), 0u);
}

}  // namespace
}  // namespace tulipyoke::membership
