// Graceful shutdown: the process responds to all requests it has accepted, continues to accept clients until
// the drain window has elapsed, and exits before it would be killed.
#ifndef TULIPYOKE_SRC_SERVER_GRACEFUL_SHUTDOWN_HPP_
#define TULIPYOKE_SRC_SERVER_GRACEFUL_SHUTDOWN_HPP_

#include <asio.hpp>
#include <optional>

#include "src/dispatch/dispatcher.hpp"
#include "src/event_loop/loop_clock.hpp"
#include "src/listener/client_listener.hpp"
#include "src/server/shutdown_plan.hpp"
#include "src/serving_state/serving_state.hpp"

namespace tulipyoke::net {

// Used only on the event loop thread. The components passed to it must outlive it.
class GracefulShutdown {
 public:
  GracefulShutdown(asio::io_context& io, LoopClock& clock, const ShutdownPlan& plan, Dispatcher& dispatcher,
                   ServingState& serving_state, ClientListener& listener);

  // Has no effect if the shutdown has already begun.
  void Begin();
  // Performs the steps that are due. Called at the end of each iteration of the event loop. Returns true if
  // the process may exit now.
  bool Advance();

 private:
  void StopAcceptingAfterDrainWindow(Micros now);
  bool Finished(Micros elapsed) const;
  // Whether a large value is still being forwarded to its client.
  bool ForwardsValues() const;
  void ArmTimer();

  LoopClock& clock_;
  const ShutdownPlan plan_;
  Dispatcher& dispatcher_;
  ServingState& serving_state_;
  ClientListener& listener_;
  asio::steady_timer timer_;
  bool timer_armed_ = false;
  bool forwarded_at_exit_deadline_ = false;
  std::optional<Micros> begun_at_;
  bool accepting_ = true;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_SERVER_GRACEFUL_SHUTDOWN_HPP_
