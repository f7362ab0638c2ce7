// Tests of what is learned about servers from the outcomes of attempts.
#include "src/endpoints/outcome_observer.hpp"

#include <gtest/gtest.h>

#include "tests/endpoints/endpoint_fixture.hpp"

namespace tulipyoke::endpoints {
namespace {

using OutcomeObserverTest = EndpointFixture;

TEST_F(OutcomeObserverTest, OutcomeUpdatesLatencyAndPosition) {
  Apply(EndpointListKind::kCached, {ReadyEntry(1, true), ReadyEntry(2)});
  sessions::ConsistencyTokens tokens;
  OutcomeObserver observer(context_, table_, tokens);
  AttemptEnded outcome;
  outcome.server = 2;
  outcome.elapsed = 390 * kMs;
  outcome.role = Role::kReplica;
  outcome.position_ms = now_ / kMs - 5;
  Server& server = table_.At(2);
  observer.ObserveAttempt(server, {.id = 1, .class_index = kAnyRead, .sent = now_ - 390 * kMs}, outcome,
                          now_);
  EXPECT_GT(server.latency_ratio.At(now_, kSecond), 1.5);
  EXPECT_EQ(server.position.value(), now_ - 5 * kMs);
  EXPECT_EQ(server.role, Role::kReplica);
  EXPECT_LT(table_.GroupAt(0).admission.AdmittedShare(now_, kSecond), 1);  // the response was late
  EXPECT_FALSE(server.concurrency_limit.Admits(1));
}

TEST_F(OutcomeObserverTest, CommitIsRecordedForItsSession) {
  Apply(EndpointListKind::kCached, {ReadyEntry(1, true), ReadyEntry(2)});
  sessions::ConsistencyTokens tokens;
  OutcomeObserver observer(context_, table_, tokens);
  AttemptEnded outcome;
  outcome.role = Role::kPrimary;
  outcome.position_ms = 77;
  observer.ObserveAttempt(table_.At(1), {.id = 1, .class_index = kKeyedWrite, .key = 5}, outcome, now_);
  EXPECT_EQ(tokens.Required(5, 0), 77 * kMs);
  outcome.position_ms.reset();  // without a position, the current time is assumed
  observer.ObserveAttempt(table_.At(1), {.id = 2, .class_index = kKeyedWrite, .key = 6}, outcome, now_);
  EXPECT_EQ(tokens.Required(6, 0), now_);
}

}  // namespace
}  // namespace tulipyoke::endpoints
