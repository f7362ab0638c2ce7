// Tests of the admitted share of reads.
#include "src/limits/admission_control.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::limits {
namespace {

struct Admitted {
  int first_attempts = 0;
  int retries = 0;
};
// Counts the admitted reads among 1000, of which every other one is a retry, with evenly spaced draws.
Admitted CountAdmitted(AdmissionControl& control, Micros now) {
  Admitted admitted;
  for (int i = 0; i < 1000; ++i) {
    const bool late = i % 2 == 1;
    if (control.ShouldReject(now, 2 * kSecond, late ? 0.2 : 1, i / 1000.0)) continue;
    ++(late ? admitted.retries : admitted.first_attempts);
  }
  return admitted;
}

// Guards against an overloaded group that rejects first attempts and admits their retries, whose responses
// are worth little or nothing.
TEST(AdmissionControl, RejectsRetriesBeforeFirstAttempts) {
  AdmissionControl control;
  const Micros now = 100 * kSecond;
  EXPECT_EQ(CountAdmitted(control, now).retries, 500);
  while (control.AdmittedShare(now, 2 * kSecond) > 0.5) control.Observe(now, 2 * kSecond, 50 * kMs, false);
  const Admitted admitted = CountAdmitted(control, now);
  EXPECT_GT(admitted.first_attempts, 400);
  EXPECT_LT(admitted.retries, 50);
}

// Guards against a router that sees one response per second and rejects most reads because one response in
// ten is late, which is normal without overload.
TEST(AdmissionControl, OneLateResponseAfterAGapRejectsFewReads) {
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
