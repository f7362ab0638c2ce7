#include "src/server/graceful_shutdown.hpp"

#include <chrono>
#include <string>
#include <system_error>

#include "src/log/log.hpp"

namespace tulipyoke::net {
namespace {

// How often a shutdown checks whether it is finished, where nothing else wakes the event loop.
constexpr auto kCheckInterval = std::chrono::milliseconds(10);
// How long a message whose first bytes have come in is waited for.
constexpr Micros kIncompleteMessageGrace = 2'200'000;

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
  LogInfo("told_to_stop", "told to stop");
}

bool GracefulShutdown::Advance() {
  if (!begun_at_) return false;
  const Micros now = clock_.Now();
  const Micros elapsed = now - *begun_at_;
  StopAcceptingAfterDrainWindow(now);
  if (elapsed >= plan_.response_deadline) listener_.RejectClientsWithoutRequests();
  if (Finished(elapsed)) return true;
  ArmTimer();
  return false;
}

void GracefulShutdown::StopAcceptingAfterDrainWindow(Micros now) {
  if (!accepting_ || !serving_state_.DrainWindowElapsed(now)) return;
  accepting_ = false;
  // Handed over, what waits in the shared listening socket belongs to the other process.
  if (serving_state_.state() != ServingState::State::kHandedOver) listener_.StopAccepting();
  LogInfo("draining", "draining: " + std::to_string(dispatcher_.in_progress()) + " requests are still out");
}

bool GracefulShutdown::Finished(Micros elapsed) const {
  if (elapsed >= plan_.exit_deadline) return true;
  if (accepting_) return false;
  if (listener_.clients() == 0) return true;
  // The successor of this process, and other routers that are stopped in turn, wait for its end: it does not
  // wait for clients that only hold a connection. Handed over, its successor serves already.
  const bool handed_over = serving_state_.state() == ServingState::State::kHandedOver;
  return !handed_over && !listener_.HasUnfinishedClients(kIncompleteMessageGrace);
}

// Armed anew only once it has expired: moving it would complete its wait, and that would begin an iteration
// of its own, so that the loop would never rest until the process ends.
void GracefulShutdown::ArmTimer() {
  if (timer_armed_) return;
  timer_armed_ = true;
  timer_.expires_after(kCheckInterval);
  timer_.async_wait([this](std::error_code) { timer_armed_ = false; });
}

}  // namespace tulipyoke::net
