// Seeded event sequences: whatever happens, the five rules hold.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <vector>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

struct Owed {
  int class_index = 0;
  Micros deadline = 0;
  std::vector<int> out;
  int sends = 0;
  bool ended = false;
  bool maybe_ran = false;
  Micros first_maybe = 0;
};
struct Out {
  RequestId id = 0;
  int attempt = 0;
  ServerId server = 0;
};

struct Mode {
  StalenessGuard staleness_guard;
  bool hedging_allowed;
  int seed;
};

class InvariantsTest : public testing::TestWithParam<Mode> {};

TEST_P(InvariantsTest, HoldUnderRandomEvents) {
  Settings settings = TestSettings();
  settings.staleness_guard = GetParam().staleness_guard;
  settings.hedging_allowed = GetParam().hedging_allowed;
  settings.catch_up_wait = settings.staleness_guard == StalenessGuard::kWait ? 50 * kMs : 0;
  std::mt19937 random(static_cast<unsigned>(GetParam().seed));
  const auto pick = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };

  RouterHarness scene(settings, static_cast<std::uint64_t>(GetParam().seed));
  std::map<RequestId, Owed> owed;
  std::vector<Out> out;
  std::map<ServerId, bool> listed = {{1, true}, {2, true}, {3, true}, {4, false}, {5, false}};
  std::map<ServerId, Micros> shown;  // newest position told of each server
  ServerId primary = 1;
  std::map<ServerId, bool> excused = {{1, true}};  // has been primary, and no answer told otherwise since
  RequestId next = 0;
  int answers = 0;

  const auto check = [&](const std::vector<Action>& actions) {
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) {
        Owed& o = owed.at(send->id);
        const ClassSettings& c = settings.classes.at(static_cast<std::size_t>(o.class_index));
        ASSERT_FALSE(o.ended) << "sent after its end";
        ASSERT_TRUE(listed[send->server]) << "sent to a server that drains or is gone";
        ASSERT_TRUE(settings.hedging_allowed || o.out.empty()) << "two out at once";
        const bool may_have_run = o.maybe_ran || !o.out.empty();
        ASSERT_FALSE(c.idempotency == Idempotency::kNone && may_have_run) << "unsafe sent again";
        if (c.idempotency == Idempotency::kWithKey && may_have_run) {
          ASSERT_LE(scene.now() - o.first_maybe, c.retry_window) << "keyed sent past its window";
        }
        if (settings.staleness_guard == StalenessGuard::kOff && c.freshness == Freshness::kBounded &&
            !excused[send->server]) {
          ASSERT_GE(shown[send->server], scene.now() - c.staleness_bound)
              << "position not shown by " << send->server;
        }
        if (!may_have_run) o.first_maybe = scene.now();
        o.out.push_back(o.sends);
        out.push_back({send->id, o.sends++, send->server});
      } else if (const auto* refuse = std::get_if<Reject>(&a)) {
        Owed& o = owed.at(refuse->id);
        const ClassSettings& c = settings.classes.at(static_cast<std::size_t>(o.class_index));
        ASSERT_FALSE(o.ended);
        ASSERT_TRUE(c.idempotency == Idempotency::kIdempotent || (!o.maybe_ran && o.out.empty()))
            << "refused though it may have run";
        o.ended = true;
        ++answers;
      } else if (const auto* fail = std::get_if<Fail>(&a)) {
        ASSERT_FALSE(owed.at(fail->id).ended);
        owed.at(fail->id).ended = true;
        ++answers;
      }
    }
  };

  for (int step = 0; step < 3000 && !HasFatalFailure(); ++step) {
    switch (pick(10)) {
      case 0:
      case 1:
      case 2: {
        const RequestId id = ++next;
        const int class_index = pick(6);
        const Micros remaining = (100 + pick(900)) * kMs;
        owed[id] = {class_index, scene.now() + remaining, {}, 0, false, false, 0};
        check(scene.Arrive(id, class_index, static_cast<std::uint64_t>(1 + pick(20)), remaining));
        break;
      }
      case 3:
      case 4:
      case 5: {
        if (out.empty()) break;
        const auto at = static_cast<std::size_t>(pick(static_cast<int>(out.size())));
        const Out o = out[at];
        out.erase(out.begin() + static_cast<std::ptrdiff_t>(at));
        Owed& request = owed.at(o.id);
        std::erase(request.out, o.attempt);
        constexpr Status kAll[] = {Status::kOk,
                                   Status::kOk,
                                   Status::kOk,
                                   Status::kOk,
                                   Status::kStaleOrWrongRole,
                                   Status::kError,
                                   Status::kOverloaded,
                                   Status::kTimeout,
                                   Status::kReset,
                                   Status::kOk,
                                   Status::kConnectFailed,
                                   Status::kCancelled};
        const Status status = kAll[pick(12)];
        if (status == Status::kOk && !request.ended) {
          request.ended = true;
          ++answers;
        }
        if (status == Status::kError || status == Status::kTimeout || status == Status::kReset ||
            status == Status::kCancelled) {
          request.maybe_ran = true;
        }
        const bool told = status == Status::kOk || status == Status::kStaleOrWrongRole;
        const Micros position = (scene.now() - pick(800) * kMs) / kMs * kMs;
        const bool is_primary = o.server == primary;
        if (told && !is_primary) shown[o.server] = std::max(shown[o.server], position);
        if (told && !is_primary) excused[o.server] = false;
        check(scene.EndAttempt(
            o.id, o.server, status, told ? (is_primary ? Role::kPrimary : Role::kReplica) : Role::kUnknown,
            told ? std::optional<std::int64_t>(position / kMs) : std::nullopt, o.attempt, request.ended));
        break;
      }
      case 6: {
        const auto id = static_cast<ServerId>(1 + pick(5));
        const Micros lag = pick(1500) * kMs;
        shown[id] = std::max(shown[id], scene.now() - lag);
        check(pick(8) == 0 ? scene.FailHealthCheck(id) : scene.ReportHealthCheck(id, lag, id == primary));
        break;
      }
      case 7: {
        const auto id = static_cast<ServerId>(1 + pick(5));
        EndpointEntry e = ReadyEntry(id, id == 1);
        e.state = static_cast<ServerState>(pick(3));
        if (pick(2) == 0) e.boot_time = scene.now() - pick(3000) * kMs;
        if (e.state == ServerState::kReady) listed[id] = true;
        if (e.state != ServerState::kReady) listed[id] = false;
        if (pick(20) == 0) excused[primary = static_cast<ServerId>(1 + pick(5))] = true;
        check(scene.UpdateList(EndpointListKind::kDelta, {e}));
        break;
      }
      default:
        // By milliseconds: what is sent on the way is judged by the time at which it was sent.
        for (int left = pick(60); left > 0; --left) check(scene.Advance(kMs));
    }
    for (auto& [id, o] : owed) {
      if (o.ended || scene.now() <= o.deadline + settings.response_slack) continue;
      FAIL() << "request " << id << " was not answered in time";
    }
  }
  EXPECT_GT(answers, 300);
}

std::vector<Mode> AllModes() {
  std::vector<Mode> modes;
  for (const StalenessGuard guards : {StalenessGuard::kOff, StalenessGuard::kReject, StalenessGuard::kWait}) {
    for (const bool second : {false, true}) {
      for (int seed = 1; seed <= 6; ++seed) modes.push_back({guards, second, seed});
    }
  }
  return modes;
}
INSTANTIATE_TEST_SUITE_P(Seeds, InvariantsTest, testing::ValuesIn(AllModes()));

}  // namespace
}  // namespace tulipyoke
