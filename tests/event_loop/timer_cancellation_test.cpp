// Timers that are set anew, cancelled or destroyed after they have expired and before their handlers run.
#include <gtest/gtest.h>

#include <asio.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "src/net/alarm.hpp"

namespace tulipyoke::net {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

// Guards against a timer that fires though it was set anew or cancelled in the turn of the loop in which it
// expired.
TEST(Alarm, WhatWasSetAnewOrCalledOffIsNotHeardOf) {
  asio::io_context io;
  Alarm anew(io), off(io), rings(io);
  auto gone = std::make_unique<Alarm>(io);
  std::string heard;
  const auto past = asio::steady_timer::clock_type::now() - milliseconds(10);
  asio::steady_timer first(io, past - milliseconds(10));  // its handler is queued before theirs
  first.async_wait([&](std::error_code) {
    anew.In(hours(1), [&] { heard += "late"; });
    off.Off();
    gone.reset();
  });
  anew.At(past, [&] { heard += "anew"; });
  off.At(past, [&] { heard += "off"; });
  gone->At(past, [&] { heard += "gone"; });
  rings.At(past, [&] {
    heard += "1";
    rings.At(past, [&] { heard += "2"; });
  });
  while (io.poll_one() > 0) {
  }
  EXPECT_EQ(heard, "12");
}

}  // namespace
}  // namespace tulipyoke::net
