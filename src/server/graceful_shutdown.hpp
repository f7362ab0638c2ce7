// A graceful shutdown: the process answers what it has taken, goes on accepting until clients have heard that
// it stops, and ends before it would be killed.
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

// Runs on the event loop, whose thread calls everything here. What it is given must outlive it.
class GracefulShutdown {
 public:
  GracefulShutdown(asio::io_context& io, LoopClock& clock, const ShutdownPlan& plan, Dispatcher& dispatcher,
                   ServingState& serving_state, ClientListener& listener);

  // Without effect once it has begun.
  void Begin();
  // Called at the end of each iteration of the event loop: does what is due. True: the process may end now.
  bool Advance();

 private:
  void StopAcceptingAfterDrainWindow(Micros now);
  bool Finished(Micros elapsed) const;
  void ArmTimer();

  LoopClock& clock_;
  const ShutdownPlan plan_;
  Dispatcher& dispatcher_;
  ServingState& serving_state_;
  ClientListener& listener_;
  asio::steady_timer timer_;
  bool timer_armed_ = false;
  std::optional<Micros> begun_at_;
  bool accepting_ = true;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_SERVER_GRACEFUL_SHUTDOWN_HPP_
