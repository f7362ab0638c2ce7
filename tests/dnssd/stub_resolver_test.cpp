// Retries, fail-over and cooldowns of the stub resolver.
#include "src/dnssd/stub_resolver.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace tulipyoke::dnssd {
namespace {

constexpr Micros kNow = 1'000'000;
constexpr QueryId kId = 7;

StubResolverOptions TwoResolvers() {
  StubResolverOptions options;
  options.resolver_count = 2;
  return options;
}

Query PtrQuery() {
  Query query;
  query.id = kId;
  query.question = {"zone.", RecordType::kPtr};
  return query;
}

TEST(StubResolver, FailsOverWithLongerTimeoutsUntilItsAttemptsAreUsedUp) {
  StubResolver resolver(TwoResolvers());
  resolver.Submit(kNow, PtrQuery());
  std::vector<std::size_t> resolvers;
  std::vector<Micros> timeouts;
  Micros now = kNow;
  for (int attempt = 1; attempt <= 3; ++attempt) {
    const std::vector<Transmission> sent = resolver.TakeTransmissions();
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent[0].attempt, attempt);
    resolvers.push_back(sent[0].resolver);
    timeouts.push_back(sent[0].deadline - now);
    now = sent[0].deadline;
    resolver.OnFailure(now, kId, attempt, QueryError::kTimeout);
  }
  EXPECT_EQ(resolvers, (std::vector<std::size_t>{0, 1, 0}));
  EXPECT_EQ(timeouts, (std::vector<Micros>{250'000, 500'000, 1'000'000}));
  const std::vector<QueryResult> results = resolver.TakeResults();
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(results[0].error, QueryError::kTimeout);
  EXPECT_EQ(resolver.pending(), 0u);
  EXPECT_EQ(resolver.counters().failovers, 2u);
}

TEST(StubResolver, ATruncatedResponseIsQueriedAgainOverTcp) {
  StubResolver resolver(TwoResolvers());
  resolver.Submit(kNow, PtrQuery());
  EXPECT_EQ(resolver.TakeTransmissions().at(0).transport, Transport::kUdp);
  Message truncated;
  truncated.truncated = true;
  resolver.OnResponse(kNow, kId, 1, {truncated});
  EXPECT_EQ(resolver.TakeTransmissions().at(0).transport, Transport::kTcp);
  resolver.OnResponse(kNow, kId, 1, {Message()});  // of the attempt that is over
  EXPECT_TRUE(resolver.TakeResults().empty());
  resolver.OnResponse(kNow, kId, 2, {Message()});
  EXPECT_FALSE(resolver.TakeResults().at(0).error);
}

TEST(StubResolver, AStaleResolverIsNotPreferred) {
  StubResolver resolver(TwoResolvers());
  EXPECT_EQ(resolver.PreferredResolver(kNow), 0u);
  resolver.MarkStale(kNow, 0);
  EXPECT_EQ(resolver.PreferredResolver(kNow), 1u);
}

}  // namespace
}  // namespace tulipyoke::dnssd
