// Tests of timers that are re-armed, cancelled or destroyed after they expire and before their handlers run.
#include <gtest/gtest.h>

#include <asio.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "src/event_loop/cancellable_timer.hpp"

namespace tulipyoke::net {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

// Guards against a callback that still runs although its timer was re-armed, cancelled or destroyed in the
// same iteration of the event loop in which the timer expired.
TEST(CancellableTimer, DoesNotCallCallbacksThatWereReplacedOrCancelled) {
  asio::io_context io;
  CancellableTimer rearmed(io), cancelled(io), repeated(io);
  auto destroyed = std::make_unique<CancellableTimer>(io);
  std::string calls;
  const auto past = asio::steady_timer::clock_type::now() - milliseconds(10);
  // Expires earlier, so that its handler is queued before those of the others.
  asio::steady_timer earlier_timer(io, past - milliseconds(10));
  earlier_timer.async_wait([&](std::error_code) {
    rearmed.ExpireAfter(hours(1), [&] { calls += "late"; });
    cancelled.Cancel();
    destroyed.reset();
  });
  rearmed.ExpireAt(past, [&] { calls += "rearmed"; });
  cancelled.ExpireAt(past, [&] { calls += "cancelled"; });
  destroyed->ExpireAt(past, [&] { calls += "destroyed"; });
  repeated.ExpireAt(past, [&] {
    calls += "1";
    repeated.ExpireAt(past, [&] { calls += "2"; });
  });
  while (io.poll_one() > 0) {
  }
  EXPECT_EQ(calls, "12");
}

}  // namespace
}  // namespace tulipyoke::net
