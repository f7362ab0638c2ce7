// What this process does during a hot restart: it takes the clients over from an older process, or hands them
// over to a newer one, shares the quota of descriptors and memory with it, and keeps the replicated state of
// both the same.
#ifndef TULIPYOKE_SRC_SERVER_HOT_RESTART_COORDINATOR_HPP_
#define TULIPYOKE_SRC_SERVER_HOT_RESTART_COORDINATOR_HPP_

#include <asio.hpp>

#include "src/config/config.hpp"
#include "src/dispatch/dispatcher.hpp"
#include "src/event_loop/cancellable_timer.hpp"
#include "src/event_loop/loop_clock.hpp"
#include "src/hot_restart/hot_restart.hpp"
#include "src/listener/client_listener.hpp"
#include "src/serving_state/serving_state.hpp"
#include "src/upstream/upstream_pool.hpp"

namespace tulipyoke::net {

// Runs on the event loop, whose thread calls everything here. What it is given must outlive it.
class HotRestartCoordinator {
 public:
  HotRestartCoordinator(asio::io_context& io, LoopClock& clock, const Config& config, Dispatcher& dispatcher,
                        ServingState& serving_state, UpstreamPool& pool, ClientListener& listener);

  // Serves at once where there is no older process, else when that one has sent its state.
  void Start();
  // Handles what the other processes have sent by now.
  void ReceivePending() { hot_restart_.ReceivePending(); }
  // To all other processes of this router.
  void Broadcast(const HotRestartMessage& message) { hot_restart_.Broadcast(message); }
  // Tells the other processes that this one ends.
  void Stop() { hot_restart_.Stop(); }

 private:
  HotRestartCallbacks Events();
  void OnStep(PeerProcess peer, HotRestartStep step);
  void OnDescriptorUsage(const DescriptorUsage& usage);
  void OnDisconnected(PeerProcess peer, DisconnectReason reason);
  void ShareWithNewer();
  void HandOverToNewer();
  // Takes clients from now on; the older process, if there is one, is told to take no more.
  void Serve();
  void AwaitStateOfOlder();
  // Sessions whose writes were not replicated are treated as unknown until all such writes are over.
  void InvalidateSessions();
  void SetQuota(double share);
  // Gives up what is not needed any more now that a newer process takes the clients; repeats itself.
  void ReduceQuota();

  LoopClock& clock_;
  const Config& config_;
  Dispatcher& dispatcher_;
  ServingState& serving_state_;
  UpstreamPool& pool_;
  ClientListener& listener_;
  HotRestart hot_restart_;
  CancellableTimer sync_timer_;
  CancellableTimer sessions_timer_;
  CancellableTimer quota_timer_;
  int reported_descriptors_ = 0;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_SERVER_HOT_RESTART_COORDINATOR_HPP_
