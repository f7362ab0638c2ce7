// Tests the counters that the process logs on SIGUSR1 and at exit. Operators rely on the names, so the names
// and their order are compared with recorded lines.
#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <regex>
#include <string>

#include "src/config/membership_config.hpp"
#include "tests/support/running_server.hpp"

namespace tulipyoke::net {
namespace {

// The expected lines, with each number replaced by `#`.
constexpr const char* kRecordedLines =
    "tulipyoke: figures: passed.any=# dropped.any=# bad_gateway.any=# upstream_tries=# in_progress=# "
    "known_readings_servers=# skipped_readings_servers=# \n"
    "tulipyoke: requests: taken=# served=# refused=# failed=# overdue=# left=# attempts=# attempt_ok=# "
    "attempt_miss=# attempt_error=# attempt_full=# attempt_timeout=# attempt_connect_failed=# "
    "attempt_reset=# attempt_cancelled=# attempt_moot=# probes=# lists=#\n"
    "tulipyoke: clients: open=# accepted=# turned_away=# shed=# idle=# silent=# malformed=# "
    "accept_errors=#\n"
    "tulipyoke: servers: open=# opened=# open_failed=# retired=# given_up=# broken=# garbage=# stray=# "
    "no_room=#\n"
    "tulipyoke: door: calls=# bad=# silent=#\n"
    "tulipyoke: membership: servers=# vanished=# returned=# restarts=# moved=# disagreed=# held_down=# "
    "admitted=# over=#\n"
    "tulipyoke: zone derby.example.org: instances=# looks=# told=# failed=# old_copies=# no_authority=# "
    "bad_records=# over=# transfers=# queries=# streams=# timeouts=# switched=#\n"
    "tulipyoke: discovery: connects=# lost=# bad_lines=#\n";

std::size_t CountOccurrences(const std::string& part, const std::string& text) {
  std::size_t count = 0;
  for (std::size_t position = text.find(part); position != std::string::npos;
       position = text.find(part, position + part.size())) {
    ++count;
  }
  return count;
}

TEST(CountersLog, NamesEachCounterAsRecorded) {
  const nlohmann::json source{
      {"type", "dns-sd"}, {"zone", "derby.example.org"}, {"resolvers", {"127.0.0.1:1"}}};
  testing::internal::CaptureStderr();
  {
    RunningServer router({}, 256, 1, [&](Config& config) {
      config.membership = ParseMembershipConfig({{"sources", {source}}}, "membership", config.settings);
    });
    kill(getpid(), SIGUSR1);
  }
  const std::string log =
      std::regex_replace(testing::internal::GetCapturedStderr(), std::regex("[0-9]+"), "#");
  EXPECT_EQ(CountOccurrences(kRecordedLines, log), 2u) << log;
}

}  // namespace
}  // namespace tulipyoke::net
