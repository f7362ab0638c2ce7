// Timers that are set anew, cancelled or destroyed after they have expired and before their handlers run.
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

// Guards against a timer that fires though it was set anew or cancelled in the turn of the loop in which it
// expired.
TEST(CancellableTimer, WhatWasSetAnewOrCalledOffIsNotHeardOf) {
  asio::io_context io;
  CancellableTimer anew(io), off(io), rings(io);
  auto gone = std::make_unique<CancellableTimer>(io);
  std::string heard;
  const auto past = asio::steady_timer::clock_type::now() - milliseconds(10);
  asio::steady_timer first(io, past - milliseconds(10));  // its handler is queued before theirs
  first.async_wait([&](std::error_code) {
    anew.ExpireAfter(hours(1), [&] { heard += "late"; });
    off.Cancel();
    gone.reset();
  });
  anew.ExpireAt(past, [&] { heard += "anew"; });
  off.ExpireAt(past, [&] { heard += "off"; });
  gone->ExpireAt(past, [&] { heard += "gone"; });
  rings.ExpireAt(past, [&] {
    heard += "1";
    rings.ExpireAt(past, [&] { heard += "2"; });
  });
  while (io.poll_one() > 0) {
  }
  EXPECT_EQ(heard, "12");
}

}  // namespace
}  // namespace tulipyoke::net
