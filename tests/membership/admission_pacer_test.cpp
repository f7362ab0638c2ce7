// The token bucket and the queues of servers that wait for admission.
#include "src/membership/admission_pacer.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace tulipyoke::membership {
namespace {

constexpr Micros kSecond = 1'000'000;

AdmissionOptions OptionsWith(double burst, double rate_per_second) {
  AdmissionOptions options;
  options.burst = burst;
  options.rate_per_second = rate_per_second;
  return options;
}

std::size_t ManyInService(int) { return 10; }

TEST(AdmissionPacer, AdmitsTheBurstAtOnceAndThenAtTheRate) {
  AdmissionPacer pacer(OptionsWith(2, 4));
  for (const char* id : {"a", "b", "c", "d"}) pacer.Enqueue(id, 0);
  EXPECT_EQ(pacer.AdmitNext(kSecond, ManyInService), "a");
  EXPECT_EQ(pacer.AdmitNext(kSecond, ManyInService), "b");
  EXPECT_EQ(pacer.AdmitNext(kSecond, ManyInService), std::nullopt);
  EXPECT_EQ(pacer.NextDue(), kSecond + kSecond / 4);
  EXPECT_EQ(pacer.AdmitNext(kSecond + kSecond / 4, ManyInService), "c");
  EXPECT_EQ(pacer.size(), 1u);
}

TEST(AdmissionPacer, AGroupBelowTheMinimumNeedsNoToken) {
  AdmissionPacer pacer(OptionsWith(1, 0.01));
  pacer.Enqueue("a", 0);
  pacer.Enqueue("b", 0);
  pacer.Enqueue("lone", 1);
  const auto in_service = [](int group) { return group == 0 ? std::size_t{5} : std::size_t{0}; };
  EXPECT_EQ(pacer.AdmitNext(kSecond, in_service), "lone");
  EXPECT_EQ(pacer.AdmitNext(kSecond, in_service), std::nullopt);
}

TEST(AdmissionPacer, ARemovedServerIsNotAdmittedAndAnEmptyQueueIsNeverDue) {
  AdmissionPacer pacer(OptionsWith(2, 4));
  pacer.Enqueue("a", 0);
  pacer.Remove("a", 0);
  pacer.Remove("b", 3);  // never queued
  EXPECT_EQ(pacer.AdmitNext(kSecond, ManyInService), std::nullopt);
  EXPECT_EQ(pacer.NextDue(), std::nullopt);
  EXPECT_EQ(pacer.size(), 0u);
}

}  // namespace
}  // namespace tulipyoke::membership
