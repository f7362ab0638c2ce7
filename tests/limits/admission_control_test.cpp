// The share of reads that is admitted.
#include "src/limits/admission_control.hpp"

#include <gtest/gtest.h>

#include "tests/scene.hpp"

namespace tulipyoke::limits {
namespace {

struct Admitted {
  int first_attempts = 0;
  int retries = 0;
};
// Of 1000 reads, every other one a retry, evenly over all draws.
Admitted AdmittedOf(AdmissionControl& control, Micros now) {
  Admitted admitted;
  for (int i = 0; i < 1000; ++i) {
    const bool late = i % 2 == 1;
    if (control.ShouldReject(now, 2 * kSecond, late ? 0.2 : 1, i / 1000.0)) continue;
    ++(late ? admitted.retries : admitted.first_attempts);
  }
  return admitted;
}

// Guards against an overloaded group that rejects first attempts and admits the same reads later, for little
// or nothing.
TEST(AdmissionControl, RetriesMakeWayForFirstAttempts) {
  AdmissionControl control;
  const Micros now = 100 * kSecond;
  EXPECT_EQ(AdmittedOf(control, now).retries, 500);
  while (control.AdmittedShare(now, 2 * kSecond) > 0.5) control.Observe(now, 2 * kSecond, 50 * kMs, false);
  const Admitted admitted = AdmittedOf(control, now);
  EXPECT_GT(admitted.first_attempts, 400);
  EXPECT_LT(admitted.retries, 50);
}

// Guards against a router that sees an answer a second and rejects most reads for one late answer in ten,
// as many as come without overload.
TEST(AdmissionControl, OneLateAnswerAfterASilenceRejectsFew) {
  AdmissionControl control;
  Micros now = 100 * kSecond;
  double rejected = 0;
  for (int i = 0; i < 200; ++i) {
    now += kSecond;
    control.Observe(now, 15 * kSecond, 50 * kMs, i % 10 != 0);
    rejected += 1 - control.AdmittedShare(now, 15 * kSecond);
  }
  EXPECT_LT(rejected / 200, 0.07);
}

}  // namespace
}  // namespace tulipyoke::limits
