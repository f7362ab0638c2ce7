// Checks five invariants of the Router under seeded random events.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <vector>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

struct TrackedRequest {
  int class_index = 0;
  Micros deadline = 0;
  std::vector<int> in_flight;
  int sends = 0;
  bool ended = false;
  bool possibly_executed = false;
  Micros first_possible_send = 0;
};
struct TrackedAttempt {
  RequestId id = 0;
  int attempt = 0;
  ServerId server = 0;
};

struct InvariantsCase {
  StalenessGuard staleness_guard;
  bool hedging_allowed;
  int seed;
};

class InvariantsTest : public testing::TestWithParam<InvariantsCase> {};

TEST_P(InvariantsTest, HoldForRandomEvents) {
  Settings settings = TestSettings();
  settings.staleness_guard = GetParam().staleness_guard;
  settings.hedging_allowed = GetParam().hedging_allowed;
  settings.catch_up_wait = settings.staleness_guard == StalenessGuard::kWait ? 50 * kMs : 0;
  std::mt19937 random(static_cast<unsigned>(GetParam().seed));
  const auto pick = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };

  RouterHarness harness(settings, static_cast<std::uint64_t>(GetParam().seed));
  std::map<RequestId, TrackedRequest> requests;
  std::vector<TrackedAttempt> in_flight;
  std::map<ServerId, bool> listed = {{1, true}, {2, true}, {3, true}, {4, false}, {5, false}};
  std::map<ServerId, Micros> observed_positions;  // newest position reported for each server
  ServerId primary = 1;
  std::map<ServerId, bool> possible_primary = {{1, true}};  // was the primary, not contradicted since
  RequestId next = 0;
  int completed = 0;

  const auto check = [&](const std::vector<Action>& actions) {
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) {
        TrackedRequest& o = requests.at(send->id);
        const ClassSettings& c = settings.classes.at(static_cast<std::size_t>(o.class_index));
        ASSERT_FALSE(o.ended) << "sent after the request ended";
        ASSERT_TRUE(listed[send->server]) << "sent to a draining or gone server";
        ASSERT_TRUE(settings.hedging_allowed || o.in_flight.empty())
            << "two attempts in flight without hedging";
        const bool may_have_executed = o.possibly_executed || !o.in_flight.empty();
        ASSERT_FALSE(c.idempotency == Idempotency::kNone && may_have_executed)
            << "non-idempotent request retried";
        if (c.idempotency == Idempotency::kWithKey && may_have_executed) {
          ASSERT_LE(harness.now() - o.first_possible_send, c.retry_window)
              << "request with an idempotency key retried after its window";
        }
        if (settings.staleness_guard == StalenessGuard::kOff && c.freshness == Freshness::kBounded &&
            !possible_primary[send->server]) {
          ASSERT_GE(observed_positions[send->server], harness.now() - c.staleness_bound)
              << "required position not observed at server " << send->server;
        }
        if (!may_have_executed) o.first_possible_send = harness.now();
        o.in_flight.push_back(o.sends);
        in_flight.push_back({send->id, o.sends++, send->server});
      } else if (const auto* reject = std::get_if<Reject>(&a)) {
        TrackedRequest& o = requests.at(reject->id);
        const ClassSettings& c = settings.classes.at(static_cast<std::size_t>(o.class_index));
        ASSERT_FALSE(o.ended);
        ASSERT_TRUE(c.idempotency == Idempotency::kIdempotent ||
                    (!o.possibly_executed && o.in_flight.empty()))
            << "rejected though it may have been executed";
        o.ended = true;
        ++completed;
      } else if (const auto* fail = std::get_if<Fail>(&a)) {
        ASSERT_FALSE(requests.at(fail->id).ended);
        requests.at(fail->id).ended = true;
        ++completed;
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
        requests[id] = {class_index, harness.now() + remaining, {}, 0, false, false, 0};
        check(harness.Arrive(id, class_index, static_cast<std::uint64_t>(1 + pick(20)), remaining));
        break;
      }
      case 3:
      case 4:
      case 5: {
        if (in_flight.empty()) break;
        const auto at = static_cast<std::size_t>(pick(static_cast<int>(in_flight.size())));
        const TrackedAttempt o = in_flight[at];
        in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(at));
        TrackedRequest& request = requests.at(o.id);
        std::erase(request.in_flight, o.attempt);
        constexpr Status kStatuses[] = {Status::kOk,
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
        const Status status = kStatuses[pick(12)];
        if (status == Status::kOk && !request.ended) {
          request.ended = true;
          ++completed;
        }
        if (status == Status::kError || status == Status::kTimeout || status == Status::kReset ||
            status == Status::kCancelled) {
          request.possibly_executed = true;
        }
        const bool responded = status == Status::kOk || status == Status::kStaleOrWrongRole;
        const Micros position = (harness.now() - pick(800) * kMs) / kMs * kMs;
        const bool is_primary = o.server == primary;
        if (responded && !is_primary)
          observed_positions[o.server] = std::max(observed_positions[o.server], position);
        if (responded && !is_primary) possible_primary[o.server] = false;
        check(harness.EndAttempt(o.id, o.server, status,
                                 responded ? (is_primary ? Role::kPrimary : Role::kReplica) : Role::kUnknown,
                                 responded ? std::optional<std::int64_t>(position / kMs) : std::nullopt,
                                 o.attempt, request.ended));
        break;
      }
      case 6: {
        const auto id = static_cast<ServerId>(1 + pick(5));
        const Micros lag = pick(1500) * kMs;
        observed_positions[id] = std::max(observed_positions[id], harness.now() - lag);
        check(pick(8) == 0 ? harness.FailHealthCheck(id) : harness.ReportHealthCheck(id, lag, id == primary));
        break;
      }
      case 7: {
        const auto id = static_cast<ServerId>(1 + pick(5));
        EndpointEntry e = ReadyEntry(id, id == 1);
        e.state = static_cast<ServerState>(pick(3));
        if (pick(2) == 0) e.boot_time = harness.now() - pick(3000) * kMs;
        if (e.state == ServerState::kReady) listed[id] = true;
        if (e.state != ServerState::kReady) listed[id] = false;
        if (pick(20) == 0) possible_primary[primary = static_cast<ServerId>(1 + pick(5))] = true;
        check(harness.UpdateList(EndpointListKind::kDelta, {e}));
        break;
      }
      default:
        // In steps of 1 ms, so that each action is checked against the time at which it was taken.
        for (int left = pick(60); left > 0; --left) check(harness.Advance(kMs));
    }
    for (auto& [id, o] : requests) {
      if (o.ended || harness.now() <= o.deadline + settings.response_slack) continue;
      FAIL() << "request " << id << " was not answered in time";
    }
  }
  EXPECT_GT(completed, 300);
}

std::vector<InvariantsCase> AllCases() {
  std::vector<InvariantsCase> cases;
  for (const StalenessGuard guards : {StalenessGuard::kOff, StalenessGuard::kReject, StalenessGuard::kWait}) {
    for (const bool hedging : {false, true}) {
      for (int seed = 1; seed <= 6; ++seed) cases.push_back({guards, hedging, seed});
    }
  }
  return cases;
}
INSTANTIATE_TEST_SUITE_P(Seeds, InvariantsTest, testing::ValuesIn(AllCases()));

}  // namespace
}  // namespace tulipyoke
