#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "tests/dispatch/dispatcher_harness.hpp"

namespace tulipyoke {
namespace {

// Guards against a deadline that ends a stream, and against a stream whose end is counted twice or never.
TEST(ResponseStream, OnlyTheServerOrTheClientEndsAStream) {
  enum class End { kComplete, kAborted, kDisconnected };
  for (const End end : {End::kComplete, End::kAborted, End::kDisconnected}) {
    DispatcherHarness harness;
    const RequestId id = harness.Submit(kAnyRead, 300 * kMs);
    const OperationId operation_id = harness.attempts[0].operation_id;
    harness.Advance(20 * kMs);
    const auto stream = harness.dispatcher.BeginStream(harness.now, operation_id, "shape", 100'000);
    ASSERT_TRUE(stream);
    EXPECT_EQ(stream->size(), 100'000u);
    harness.CollectCommands();
    ASSERT_EQ(harness.responses[id].size(), 1u);
    EXPECT_EQ(std::get<StreamingResponse>(harness.responses[id][0]).stream, stream);
    harness.dispatcher.SetDrainDeadline(harness.now + kSecond);
    harness.Advance(5 * kSecond);
    EXPECT_TRUE(harness.cancelled.empty());
    EXPECT_EQ(harness.dispatcher.StatisticsAt(harness.now).in_progress, 1u);
    if (end == End::kDisconnected) {
      harness.dispatcher.ClientDisconnected(harness.now, id);
      harness.CollectCommands();
      EXPECT_EQ(harness.cancelled, (std::vector<OperationId>{operation_id}));
    } else {
      const Status status = end == End::kComplete ? Status::kOk : Status::kReset;
      harness.Finish(operation_id, {.status = status, .result = {"", "", "tag"}});
      EXPECT_EQ(stream->state(),
                end == End::kComplete ? ResponseStream::State::kComplete : ResponseStream::State::kAborted);
      EXPECT_EQ(harness.dispatcher.in_progress(), 1u);  // until the client has received it
      harness.dispatcher.StreamDelivered(id);
    }
    harness.Finish(operation_id, {.status = Status::kReset});
    harness.dispatcher.StreamDelivered(id);
    EXPECT_EQ(harness.dispatcher.in_progress(), 0u);
    EXPECT_EQ(harness.responses[id].size(), 1u);
    EXPECT_EQ(harness.attempts.size(), 1u);
    const ClassStatistics statistics = harness.dispatcher.StatisticsAt(harness.now).classes[kAnyRead];
    EXPECT_EQ(statistics.passed, end == End::kComplete ? 1u : 0u);
    EXPECT_EQ(statistics.bad_gateway, end == End::kAborted ? 1u : 0u);
  }
}

// Guards against a stream that no client reads, and against losing the commit of its write.
TEST(ResponseStream, NoStreamBeginsWithoutAWaitingClient) {
  DispatcherHarness harness;
  const RequestId id = harness.Submit(kKeyedWrite);
  // Otherwise the disconnect would have cancelled the attempt.
  harness.dispatcher.OperationWritten(harness.attempts[0].operation_id);
  harness.dispatcher.ClientDisconnected(harness.now, id);
  EXPECT_FALSE(
      harness.dispatcher.BeginStream(harness.now, harness.attempts[0].operation_id, "shape", 100'000));
  EXPECT_EQ(harness.dispatcher.SessionSnapshot().size(), 1u);
  EXPECT_FALSE(harness.dispatcher.BeginStream(harness.now, harness.attempts[0].operation_id, "shape",
                                              100'000));  // the attempt has finished
}

// Guards against unbounded buffering when the server is faster than the client.
TEST(ResponseStream, LimitsItsBufferAndReportsWhenItIsWritable) {
  ResponseStream stream("shape", 1 << 20);
  int updates = 0, writable = 0;
  stream.on_update = [&] { ++updates; };
  stream.on_writable = [&] { ++writable; };
  const std::string piece(8192, 'v');
  EXPECT_TRUE(stream.Write(piece));
  EXPECT_EQ(stream.Read(), piece);
  EXPECT_EQ(writable, 0);
  int written = 1;
  while (stream.Write(piece)) ++written;
  EXPECT_EQ(written, 4);
  EXPECT_TRUE(stream.full());
  EXPECT_EQ(stream.Read().size(), 4 * piece.size());
  EXPECT_EQ(writable, 1);
  stream.Complete("tag");
  stream.Abort();  // ignored after Complete
  EXPECT_EQ(stream.state(), ResponseStream::State::kComplete);
  EXPECT_EQ(updates, 6);
}

}  // namespace
}  // namespace tulipyoke
