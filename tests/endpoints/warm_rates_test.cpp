// Tests of the throughput of warm group members.
#include "src/endpoints/warm_rates.hpp"

#include <gtest/gtest.h>

#include "tests/endpoints/endpoint_fixture.hpp"

namespace tulipyoke::endpoints {
namespace {

using WarmRatesTest = EndpointFixture;

TEST_F(WarmRatesTest, WarmThroughputIsTheMeanOfWarmReplicas) {
  Apply(EndpointListKind::kCached, {ReadyEntry(1, true), ReadyEntry(2), ReadyEntry(3)});
  for (const ServerId id : {1u, 2u, 3u}) {
    table_.At(id).throughput.Add(now_, id * 100 * kMs, context_.scales.throughput_window);
  }
  UpdateWarmThroughputs(context_, table_, now_);
  const double expected =
      table_.At(2).throughput.Rate(now_, kSecond, context_.scales.throughput_window) * 1.25;
  EXPECT_NEAR(table_.GroupAt(0).warm_throughput, expected, expected / 100);
}

}  // namespace
}  // namespace tulipyoke::endpoints
