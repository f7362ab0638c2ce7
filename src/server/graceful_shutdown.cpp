#include "src/server/graceful_shutdown.hpp"

#include <chrono>
#include <string>
#include <system_error>

#include "src/log/log.hpp"

namespace tulipyoke::net {
namespace {

// How often the shutdown checks whether it is finished while nothing else wakes the event loop.
constexpr auto kCheckInterval = std::chrono::milliseconds(10);
// How long the shutdown waits for new clients and for the rest of incomplete messages.
constexpr Micros kIncompleteMessageGrace = 2'200'000;
// How long the process goes on at most for large values that are still being forwarded.
constexpr Micros kMaxStreamDrain = 30'000'000;

}  // namespace

GracefulShutdown::GracefulShutdown(asio::io_context& io, LoopClock& clock, const ShutdownPlan& plan,
                                   Dispatcher& dispatcher, ServingState& serving_state,
                                   ClientListener& listener)
    : clock_(clock),
      plan_(plan),
      dispatcher_(dispatcher),
      serving_state_(serving_state),
      listener_(listener),
      timer_(io) {}

void GracefulShutdown::Begin() {
  if (begun_at_) return;
  begun_at_ = clock_.Now();
  serving_state_.Stop(*begun_at_);
  dispatcher_.SetDrainDeadline(*begun_at_ + plan_.response_deadline);
  LogInfo("told_to_stop", "graceful shutdown started");
}

bool GracefulShutdown::Advance() {
  if (!begun_at_) return false;
  const Micros now = clock_.Now();
  const Micros elapsed = now - *begun_at_;
  StopAcceptingAfterDrainWindow(now);
  if (elapsed >= plan_.response_deadline) {
    const bool exits = elapsed >= plan_.exit_deadline;
    listener_.RejectClientsWithoutRequests(exits ? UnreadInput::kReject : UnreadInput::kProcess);
  }
  if (elapsed >= plan_.exit_deadline && dispatcher_.streams_in_progress() > 0)
    forwarded_at_exit_deadline_ = true;
  if (Finished(elapsed)) return true;
  ArmTimer();
  return false;
}

void GracefulShutdown::StopAcceptingAfterDrainWindow(Micros now) {
  if (!accepting_ || !serving_state_.DrainWindowElapsed(now)) return;
  accepting_ = false;
  // After a handover, the connections in the backlog of the shared socket belong to the other process.
  if (serving_state_.state() != ServingState::State::kHandedOver) listener_.StopAccepting();
  LogInfo("draining", "draining: " + std::to_string(dispatcher_.in_progress()) + " requests in progress");
}

// A large value that is being forwarded cannot be sent again, so the process waits for it, also beyond the
// time at which it may be killed. Its last bytes may still be unsent when the value itself is complete.
bool GracefulShutdown::ForwardsValues() const {
  if (dispatcher_.streams_in_progress() > 0) return true;
  return forwarded_at_exit_deadline_ && listener_.HasUnsentResponses();
}

bool GracefulShutdown::Finished(Micros elapsed) const {
  if (elapsed >= plan_.exit_deadline) return !ForwardsValues() || elapsed >= kMaxStreamDrain;
  if (accepting_) return false;
  if (listener_.clients() == 0) return true;
  // The replacement of this process, and other routers that are stopped one after another, wait until it
  // exits, so it does not wait for idle connections. After a handover the newer process already serves.
  const bool handed_over = serving_state_.state() == ServingState::State::kHandedOver;
  return !handed_over && !listener_.HasUnfinishedClients(kIncompleteMessageGrace);
}

// Sets the timer again only after it has expired. Moving a pending timer would complete its wait, which
// starts another iteration, so the event loop would spin until the process exits.
void GracefulShutdown::ArmTimer() {
  if (timer_armed_) return;
  timer_armed_ = true;
  timer_.expires_after(kCheckInterval);
  timer_.async_wait([this](std::error_code) { timer_armed_ = false; });
}

}  // namespace tulipyoke::net
