#include <gtest/gtest.h>

#include <string>

#include "tests/dispatch/dispatcher_harness.hpp"

namespace tulipyoke {
namespace {

// Guards against statistics that count probes, or requests that have no response yet.
TEST(DispatchStatistics, CountsResponsesByClassAndCompletelyWrittenAttempts) {
  DispatcherHarness harness;
  const RequestId first = harness.Submit(kAnyRead);
  harness.Submit(kKeyedWrite);
  ASSERT_EQ(harness.attempts.size(), 2u);
  harness.dispatcher.OperationWritten(harness.attempts[0].operation_id);
  if (!harness.probes.empty()) harness.dispatcher.OperationWritten(harness.probes[0].operation_id);
  EXPECT_EQ(harness.dispatcher.StatisticsAt(harness.now).in_progress, 2u);
  harness.Finish(harness.attempts[0].operation_id, {.status = Status::kOk});
  harness.dispatcher.OperationWritten(harness.attempts[0].operation_id);  // ignored: the attempt has finished
  EXPECT_EQ(harness.responses[first].size(), 1u);
  harness.dispatcher.CountLocalResponse(kAnyRead, RejectedResponse{});
  harness.dispatcher.CountLocalResponse(kAnyRead, FailedResponse{});
  const DispatchStatistics statistics = harness.dispatcher.StatisticsAt(harness.now);
  EXPECT_EQ(statistics.classes[kAnyRead].passed, 1u);
  EXPECT_EQ(statistics.classes[kAnyRead].dropped, 1u);
  EXPECT_EQ(statistics.classes[kAnyRead].bad_gateway, 1u);
  EXPECT_EQ(statistics.classes[kKeyedWrite].passed, 0u);
  EXPECT_EQ(statistics.upstream_attempts, 1u);
  EXPECT_EQ(statistics.in_progress, 1u);
  EXPECT_EQ(statistics.known_servers, 3u);
  EXPECT_EQ(statistics.skipped_servers, 0u);
  ListedServer server = DispatcherHarness::ReadyServer("q");
  server.state = ServerState::kDraining;
  harness.dispatcher.UpdateEndpoints(harness.now, {8, false, {server}});
  EXPECT_EQ(harness.dispatcher.StatisticsAt(harness.now).known_servers, 3u);
  EXPECT_EQ(harness.dispatcher.StatisticsAt(harness.now).skipped_servers, 1u);
}

TEST(DispatchStatistics, TextContainsTheCounterNames) {
  DispatchCounters counters;
  counters.received = 3;
  counters.attempt_outcomes[IndexOf(Status::kTimeout)] = 2;
  const std::string text = ToText(counters);
  EXPECT_NE(text.find("taken=3 "), std::string::npos);
  EXPECT_NE(text.find("attempt_timeout=2"), std::string::npos);
}

}  // namespace
}  // namespace tulipyoke
