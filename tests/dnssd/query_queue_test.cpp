// The queue of a browser's queries.
#include "src/dnssd/query_queue.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace tulipyoke::dnssd {
namespace {

constexpr std::size_t kResolver = 3;

bool Always(const Question&) { return true; }

Question SrvOf(const std::string& name) { return {name, RecordType::kSrv}; }

Query SoaQuery() {
  Query query;
  query.question = {"zone.", RecordType::kSoa};
  return query;
}

TEST(QueryQueue, LimitsInstanceQueriesButNotThoseAboutTheZone) {
  QueryQueue queue(2);
  for (const char* name : {"a.", "b.", "c."}) queue.EnqueueLast(SrvOf(name));
  queue.EnqueueFirst(SoaQuery());
  queue.Dispatch(kResolver, Always);
  const std::vector<Query> ready = queue.TakeReady();
  ASSERT_EQ(ready.size(), 2u);
  EXPECT_EQ(ready[0].question.type, RecordType::kSoa);
  EXPECT_FALSE(ready[0].resolver);
  EXPECT_EQ(ready[1].question, SrvOf("a."));
  EXPECT_EQ(ready[1].resolver, kResolver);
  EXPECT_EQ(queue.Complete(ready[1].id), SrvOf("a."));
  EXPECT_FALSE(queue.Complete(ready[1].id));
  queue.Dispatch(kResolver, Always);
  EXPECT_EQ(queue.TakeReady().at(0).question, SrvOf("b."));
}

TEST(QueryQueue, HoldsEachQuestionOnceUntilItIsCompletedOrDropped) {
  QueryQueue queue(2);
  queue.EnqueueLast(SrvOf("a."));
  queue.EnqueueLast(SrvOf("a."));
  queue.Dispatch(kResolver, [](const Question&) { return false; });
  EXPECT_TRUE(queue.TakeReady().empty());
  queue.EnqueueLast(SrvOf("a."));
  queue.Dispatch(kResolver, Always);
  queue.EnqueueLast(SrvOf("a."));
  queue.Dispatch(kResolver, Always);
  EXPECT_EQ(queue.TakeReady().size(), 1u);
}

}  // namespace
}  // namespace tulipyoke::dnssd
