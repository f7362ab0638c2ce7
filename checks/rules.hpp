// The rules of the service, judged over a history: one final answer in time; nothing new to a server 2 s
// after it was told to drain; no cold server pushed over by all routers together; no stale read; no repeat
// outside its class. A history that breaks none is no proof, one that breaks one is.
#ifndef TULIPYOKE_CHECKS_RULES_HPP_
#define TULIPYOKE_CHECKS_RULES_HPP_

#include <map>
#include <string>
#include <vector>

#include "checks/history.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::checks {

enum class Rule { kOneAnswer, kDrain, kCold, kStale, kRepeat };
const char* ToText(Rule rule);

struct Violation {
  Rule rule = Rule::kOneAnswer;
  Micros when = 0;
  std::string subject;  // the request or the server
  std::string text;
  std::vector<std::string> trail;  // the events about it that led there
};

struct ClassRules {
  Freshness freshness = Freshness::kAny;
  Idempotency effect = Idempotency::kIdempotent;
  Micros bound = 0;   // of kBounded
  Micros window = 0;  // of kKeyed, from the first attempt that may have run
};

struct RuleOptions {
  std::map<std::string, ClassRules> classes;
  Micros answer_slack = 70'000;  // what a clock and a loopback add to the limit is part of it
  Micros drain_grace = 2'050'000;
  double cold_from = 0.15;
  Micros warm_after = 18'000'000;
  double tip_multiple = 3;
  Micros tip_window = 3'000'000;
  Micros known_after = 100'000;  // what an answer tells counts as known by then
};

std::vector<Violation> Check(const std::vector<Event>& events, const RuleOptions& options);
std::string ToText(const std::vector<Violation>& violations);

}  // namespace tulipyoke::checks

#endif  // TULIPYOKE_CHECKS_RULES_HPP_
