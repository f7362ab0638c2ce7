// Each rule has a history that breaks it, which the checker must catch, and one beside it that does not.
#include <gtest/gtest.h>

#include "checks/rules.hpp"

namespace tulipyoke::checks {
namespace {

constexpr Micros kSecond = 1'000'000;

RuleOptions Options() {
  RuleOptions options;
  options.classes["read"] = {};
  options.classes["fresh-by-200"] = {Freshness::kBounded, Idempotency::kIdempotent, 200'000, 0};
  options.classes["own"] = {Freshness::kSession, Idempotency::kIdempotent, 0, 0};
  options.classes["write"] = {Freshness::kWrite, Idempotency::kWithKey, 0, 3 * kSecond};
  options.classes["once"] = {Freshness::kAny, Idempotency::kNone, 0, 0};
  return options;
}

std::vector<Rule> Broken(const std::vector<Event>& events) {
  std::vector<Rule> rules;
  for (const Violation& violation : Check(events, Options())) {
    EXPECT_FALSE(violation.trail.empty());
    rules.push_back(violation.rule);
  }
  return rules;
}
Event Ask(Micros when, const std::string& id, const std::string& request_class = "read",
          const std::string& key = "") {
  return {when, Asked{id, "n1", request_class, key, when + kSecond}};
}
Event Send(Micros when, const std::string& id, const std::string& server, double work = 1000) {
  return {when, Reached{id, "n1", server, when, work}};
}
Event Done(Micros when, const std::string& id, End end = End::kServed) { return {when, Ended{id, end}}; }
using Rules = std::vector<Rule>;

TEST(Checks, OneFinalAnswerInTime) {
  EXPECT_EQ(Broken({Ask(0, "1"), Send(1, "1", "s"), {2, Ran{"1", "s", 2}}, Done(3, "1")}), Rules{});
  EXPECT_EQ(Broken({Ask(0, "1"), Send(1, "1", "s"), Done(3, "1"), Done(4, "1")}), Rules{Rule::kOneAnswer});
  EXPECT_EQ(Broken({Ask(0, "1"), Send(1, "1", "s"), Done(2 * kSecond, "1")}), Rules{Rule::kOneAnswer});
  EXPECT_EQ(Broken({Ask(0, "1"), Ask(5 * kSecond, "2"), Done(5 * kSecond + 1, "2", End::kRefused)}),
            Rules{Rule::kOneAnswer});
  EXPECT_EQ(Broken({Ask(0, "1"), Done(5, "1", End::kBroken)}), Rules{Rule::kOneAnswer});
  EXPECT_EQ(Broken({Ask(0, "1"), Done(5, "1")}), Rules{Rule::kOneAnswer});  // no server made that
  // Who goes away is owed nothing, and what a killed router had is void.
  EXPECT_EQ(Broken({Ask(0, "1"), Done(5, "1", End::kLeft), Ask(5 * kSecond, "2"),
                    Done(5 * kSecond + 1, "2", End::kRefused)}),
            Rules{});
  EXPECT_EQ(Broken({Ask(0, "1"), {1, Killed{"n1"}}, Done(2, "1", End::kBroken)}), Rules{});
}

TEST(Checks, NothingNewTwoSecondsAfterADrainWasTold) {
  const Event told{0, Told{"n1", "s", Heard::kDraining}};
  EXPECT_EQ(Broken({told, Ask(1, "1"), Send(2 * kSecond, "1", "s"), Done(2 * kSecond, "1", End::kLeft)}),
            Rules{});
  const Micros late = 3 * kSecond;
  EXPECT_EQ(Broken({told, Ask(late, "1"), Send(late, "1", "s"), Done(late + 1, "1")}), Rules{Rule::kDrain});
  // Told again does not start the time anew; in service again ends it.
  EXPECT_EQ(Broken({told,
                    {2 * kSecond, Told{"n1", "s", Heard::kGone}},
                    Ask(late, "1"),
                    Send(late, "1", "s"),
                    Done(late + 1, "1")}),
            Rules{Rule::kDrain});
  EXPECT_EQ(Broken({told,
                    {1, Told{"n1", "s", Heard::kReady}},
                    Ask(late, "1"),
                    Send(late, "1", "s"),
                    Done(late + 1, "1")}),
            Rules{});
}

TEST(Checks, NoColdServerIsPushedOverByAllRoutersTogether) {
  std::vector<Event> events{{0, Started{"s", 1}}};
  for (int i = 0; i < 3; ++i) {
    const std::string id = std::to_string(i);
    events.push_back(Ask(1000 + i, id));
    events.push_back({1000 + i, Reached{id, "n" + id, "s", 1000 + i, 440'000}});
    events.push_back(Done(1000 + i, id));
  }
  EXPECT_EQ(Broken(events), Rules{});  // 1.32 s of 1.35 s
  events.push_back(Ask(2000, "x"));
  events.push_back(Send(2000, "x", "s", 100'000));
  events.push_back(Done(2000, "x"));
  EXPECT_EQ(Broken(events), Rules{Rule::kCold});
}

TEST(Checks, NoStaleRead) {
  const auto read = [](const std::string& request_class, Micros sent, Micros position) {
    return std::vector<Event>{Ask(sent, "1", request_class, "k"),
                              Send(sent, "1", "s"),
                              {sent + 1, Ran{"1", "s", position}},
                              Done(sent + 2, "1")};
  };
  EXPECT_EQ(Broken(read("fresh-by-200", kSecond, 800'000)), Rules{});
  EXPECT_EQ(Broken(read("fresh-by-200", kSecond, 799'000)), Rules{Rule::kStale});
  std::vector<Event> own{Ask(0, "w", "write", "k"), Send(1, "w", "p"), {2, Ran{"w", "p", 500}}, Done(3, "w")};
  std::vector<Event> sees = own, misses = own;
  for (const Event& event : read("own", 1000, 500)) sees.push_back(event);
  for (const Event& event : read("own", 1000, 499)) misses.push_back(event);
  EXPECT_EQ(Broken(sees), Rules{});
  EXPECT_EQ(Broken(misses), Rules{Rule::kStale});
}

TEST(Checks, NoRepeatOutsideItsClass) {
  const auto twice = [](const std::string& request_class, Micros second, bool surely_not) {
    std::vector<Event> events{Ask(0, "1", request_class), Send(1, "1", "s")};
    if (surely_not) events.push_back({2, NotRun{"1", "s"}});
    events.push_back(Send(second, "1", "t"));
    events.push_back(Done(second, "1", End::kLeft));
    return events;
  };
  EXPECT_EQ(Broken(twice("read", 100, false)), Rules{});
  EXPECT_EQ(Broken(twice("once", 100, false)), Rules{Rule::kRepeat});
  EXPECT_EQ(Broken(twice("once", 100, true)), Rules{});
  EXPECT_EQ(Broken(twice("write", 2 * kSecond, false)), Rules{});
  EXPECT_EQ(Broken(twice("write", 4 * kSecond, false)), Rules{Rule::kRepeat});
  EXPECT_EQ(Broken({Ask(0, "1", "once"), Send(1, "1", "s"), Done(2, "1", End::kRefused)}),
            Rules{Rule::kRepeat});
}

}  // namespace
}  // namespace tulipyoke::checks
