#include "checks/rules.hpp"

#include <algorithm>
#include <deque>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace tulipyoke::checks {
namespace {

constexpr std::size_t kTrail = 12;

std::string Describe(const What& what) {
  std::ostringstream out;
  if (const auto* asked = std::get_if<Asked>(&what)) {
    out << "asked " << asked->router << " for " << asked->request_class << " until " << asked->deadline;
  } else if (const auto* ended = std::get_if<Ended>(&what)) {
    out << "ended as " << static_cast<int>(ended->end);
  } else if (const auto* reached = std::get_if<Reached>(&what)) {
    out << "reached " << reached->server << " from " << reached->router;
  } else if (const auto* ran = std::get_if<Ran>(&what)) {
    out << "ran at " << ran->server << ", position " << ran->position;
  } else if (const auto* not_run = std::get_if<NotRun>(&what)) {
    out << "did not run at " << not_run->server;
  } else if (const auto* started = std::get_if<Started>(&what)) {
    out << "started " << started->server;
  } else if (const auto* told = std::get_if<Told>(&what)) {
    out << told->router << " told of " << told->server << ": " << static_cast<int>(told->heard);
  } else if (const auto* killed = std::get_if<Killed>(&what)) {
    out << "killed " << killed->router;
  }
  return out.str();
}

struct Attempt {
  std::string server;
  Micros reached = 0;
  std::optional<bool> ran;  // nothing: nobody knows
};
struct Request {
  Asked asked;
  Micros when = 0;
  int ends = 0;
  std::vector<Attempt> attempts;
  std::optional<Micros> read_at;  // the oldest position that it was answered from
  Micros needs = 0;               // of a read: the position that its class and session want
};

class Judge {
 public:
  explicit Judge(const RuleOptions& options) : options_(options) {}

  void Take(const Event& event) {
    std::visit([&](const auto& what) { On(event.when, what); }, event.what);
  }
  std::vector<Violation> Done(Micros last) {
    for (const auto& [id, request] : requests_) {
      const bool due = last > request.asked.deadline + options_.answer_slack;
      if (request.ends == 0 && due && !void_.contains(id)) {
        Broken(Rule::kOneAnswer, last, id, "never answered");
      }
    }
    for (const auto& [name, server] : servers_) JudgeCold(name, server);
    return std::move(violations_);
  }

 private:
  struct Load {
    Micros when = 0;
    double work = 0;
  };
  struct Server {
    std::vector<std::pair<Micros, double>> starts;  // and the capacity
    std::vector<Load> loads;
  };

  const ClassRules& RulesOf(const std::string& name) const {
    static const ClassRules none;
    const auto it = options_.classes.find(name);
    return it == options_.classes.end() ? none : it->second;
  }
  void Broken(Rule rule, Micros when, const std::string& subject, const std::string& text) {
    violations_.push_back({rule, when, subject, text, {}});
  }

  void On(Micros when, const Asked& asked) {
    Request& request = requests_[asked.request];
    request.asked = asked;
    request.when = when;
    const ClassRules& rules = RulesOf(asked.request_class);
    if (rules.freshness == Freshness::kSession) {
      // Every write of the session whose answer its client had by then, through the same router.
      const auto wrote = commits_.find({asked.router, asked.key});
      if (wrote != commits_.end()) request.needs = wrote->second;
    }
    if (rules.freshness == Freshness::kFresh) request.needs = newest_commit_;
  }
  void On(Micros when, const Ended& ended) {
    const auto it = requests_.find(ended.request);
    if (it == requests_.end())
      return Broken(Rule::kOneAnswer, when, ended.request, "answered but never asked");
    Request& request = it->second;
    const bool served = ended.end == End::kServed;
    if (ended.end == End::kLeft) {
      void_.insert(ended.request);
      return;
    }
    if (ended.end == End::kBroken && !killed_.contains(request.asked.router)) {
      Broken(Rule::kOneAnswer, when, ended.request, "its connection ended without an answer");
    }
    if (++request.ends > 1) Broken(Rule::kOneAnswer, when, ended.request, "answered twice");
    if (when > request.asked.deadline + options_.answer_slack) {
      Broken(Rule::kOneAnswer, when, ended.request, "answered after its limit");
    }
    const ClassRules& rules = RulesOf(request.asked.request_class);
    const bool may_have_run = std::any_of(request.attempts.begin(), request.attempts.end(),
                                          [](const Attempt& a) { return a.ran.value_or(true); });
    if (ended.end == End::kRefused && rules.effect == Idempotency::kNone && may_have_run) {
      Broken(Rule::kRepeat, when, ended.request, "refused as harmless though it may have run");
    }
    if (served && request.attempts.empty()) {
      Broken(Rule::kOneAnswer, when, ended.request, "served with what no server made");
    }
    if (served && request.read_at && *request.read_at < request.needs) {
      Broken(
          Rule::kStale, when, ended.request,
          "answered from " + std::to_string(request.needs - *request.read_at) + " us before what it needs");
    }
    if (served && rules.freshness == Freshness::kWrite && !request.asked.key.empty()) {
      Micros& commit = commits_[{request.asked.router, request.asked.key}];
      commit = std::max(commit, request.read_at.value_or(0));
      newest_commit_ = std::max(newest_commit_, commit);
    }
  }
  void On(Micros when, const Reached& reached) {
    servers_[reached.server].loads.push_back({when, reached.work});
    // Servers do not know who sends; the request tells.
    const auto known = requests_.find(reached.request);
    const std::string router =
        reached.router.empty() && known != requests_.end() ? known->second.asked.router : reached.router;
    const auto told = drains_.find({router, reached.server});
    if (told != drains_.end() && reached.begun > told->second + options_.drain_grace) {
      Broken(Rule::kDrain, when, reached.server,
             "request " + reached.request + " sent " + std::to_string(reached.begun - told->second) +
                 " us after the drain was told");
    }
    if (reached.request.empty()) return;  // a probe
    Request& request = requests_[reached.request];
    const ClassRules& rules = RulesOf(request.asked.request_class);
    const auto first = std::find_if(request.attempts.begin(), request.attempts.end(),
                                    [](const Attempt& a) { return a.ran.value_or(true); });
    if (first != request.attempts.end()) {
      if (rules.effect == Idempotency::kNone) {
        Broken(Rule::kRepeat, when, reached.request, "sent again though it may have run");
      }
      if (rules.effect == Idempotency::kWithKey &&
          when > first->reached + rules.window + options_.answer_slack) {
        Broken(Rule::kRepeat, when, reached.request, "sent again after its key's window");
      }
    }
    if (rules.freshness == Freshness::kBounded) request.needs = std::max(request.needs, when - rules.bound);
    request.attempts.push_back({reached.server, when, std::nullopt});
  }
  void On(Micros, const Ran& ran) {
    Request& request = requests_[ran.request];
    Settle(request, ran.server, true);
    request.read_at = std::min(request.read_at.value_or(ran.position), ran.position);
  }
  void On(Micros, const NotRun& not_run) { Settle(requests_[not_run.request], not_run.server, false); }
  void On(Micros when, const Started& started) {
    servers_[started.server].starts.emplace_back(when, started.capacity);
  }
  void On(Micros when, const Told& told) {
    const std::pair key(told.router, told.server);
    if (told.heard == Heard::kReady)
      drains_.erase(key);
    else
      drains_.emplace(key, when);
  }
  void On(Micros, const Killed& killed) {
    killed_.insert(killed.router);
    for (const auto& [id, request] : requests_) {
      if (request.asked.router == killed.router && request.ends == 0) void_.insert(id);
    }
    std::erase_if(commits_, [&](const auto& item) { return item.first.first == killed.router; });
    std::erase_if(drains_, [&](const auto& item) { return item.first.first == killed.router; });
  }

  static void Settle(Request& request, const std::string& server, bool ran) {
    const auto attempt =
        std::find_if(request.attempts.begin(), request.attempts.end(),
                     [&](const Attempt& a) { return a.server == server && !a.ran.has_value(); });
    if (attempt != request.attempts.end()) attempt->ran = ran;
  }

  // A budget for every window: multiple x what it can do in it. The work of all routers, probes included.
  void JudgeCold(const std::string& name, const Server& server) {
    for (const auto& [start, capacity] : server.starts) {
      std::deque<Load> window;
      double sum = 0;
      for (const Load& load : server.loads) {
        if (load.when < start || load.when > start + options_.warm_after) continue;
        window.push_back(load);
        sum += load.work;
        while (window.front().when < load.when - options_.tip_window) {
          sum -= window.front().work;
          window.pop_front();
        }
        const double grown =
            static_cast<double>(load.when - start) / static_cast<double>(options_.warm_after);
        const double able = capacity * (options_.cold_from + (1 - options_.cold_from) * grown);
        const double budget = options_.tip_multiple * able * static_cast<double>(options_.tip_window);
        if (sum <= budget) continue;
        Broken(Rule::kCold, load.when, name,
               std::to_string(static_cast<Micros>(sum)) + " us of work in one window, " +
                   std::to_string(static_cast<Micros>(budget)) + " are allowed");
        break;
      }
    }
  }

  const RuleOptions& options_;
  std::map<std::string, Request> requests_;
  std::map<std::string, Server> servers_;
  std::map<std::pair<std::string, std::string>, Micros> drains_, commits_;
  Micros newest_commit_ = 0;
  std::set<std::string> killed_, void_;
  std::vector<Violation> violations_;
};

// Whether the event is about that request or server.
bool About(const What& what, const std::string& subject) {
  return std::visit(
      [&](const auto& w) {
        bool about = false;
        if constexpr (requires { w.request; }) about = about || w.request == subject;
        if constexpr (requires { w.server; }) about = about || w.server == subject;
        return about;
      },
      what);
}

}  // namespace

std::vector<Event> History::Events() const {
  const std::lock_guard lock(mutex_);
  std::vector<Event> events = events_;
  std::stable_sort(events.begin(), events.end(),
                   [](const Event& a, const Event& b) { return a.when < b.when; });
  return events;
}

const char* ToText(Rule rule) {
  switch (rule) {
    case Rule::kOneAnswer:
      return "one final answer";
    case Rule::kDrain:
      return "drains kept";
    case Rule::kCold:
      return "no cold server pushed over";
    case Rule::kStale:
      return "no stale read";
    case Rule::kRepeat:
      return "no repeat outside its class";
  }
  return "";
}

std::vector<Violation> Check(const std::vector<Event>& events, const RuleOptions& options) {
  Judge judge(options);
  for (const Event& event : events) judge.Take(event);
  std::vector<Violation> violations = judge.Done(events.empty() ? 0 : events.back().when);
  for (Violation& violation : violations) {
    for (const Event& event : events) {
      if (event.when > violation.when || !About(event.what, violation.subject)) continue;
      violation.trail.push_back(std::to_string(event.when) + ": " + Describe(event.what));
      if (violation.trail.size() > kTrail) violation.trail.erase(violation.trail.begin());
    }
  }
  return violations;
}

std::string ToText(const std::vector<Violation>& violations) {
  std::ostringstream out;
  for (const Violation& violation : violations) {
    out << violation.when << " " << ToText(violation.rule) << ": " << violation.subject << " "
        << violation.text << "\n";
    for (const std::string& line : violation.trail) out << "    " << line << "\n";
  }
  return out.str();
}

}  // namespace tulipyoke::checks
