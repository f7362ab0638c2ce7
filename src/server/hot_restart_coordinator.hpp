// Coordinates a hot restart in this process: takes clients over from an older process or hands them over to a
// newer one, divides the quota of descriptors and memory with it, and replicates state between both.
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

// Used only on the event loop thread. The constructor arguments must outlive it.
class HotRestartCoordinator {
 public:
  HotRestartCoordinator(asio::io_context& io, LoopClock& clock, const Config& config, Dispatcher& dispatcher,
                        ServingState& serving_state, UpstreamPool& pool, ClientListener& listener);

  // Starts serving at once if there is no older process, else once the older one has sent its state, has
  // disconnected, or has not sent it in time.
  void Start();
  // Handles the messages that have arrived from the peer processes.
  void ReceivePending() { hot_restart_.ReceivePending(); }
  // Sends the message to all peer processes.
  void Broadcast(const HotRestartMessage& message) { hot_restart_.Broadcast(message); }
  // Tells the peer processes, if there are any, that this one has accepted a request that must not run twice.
  void ReplicateRequestId(std::uint64_t key);
  // Tells the peer processes that this one is finished, and disconnects from them.
  void Stop() { hot_restart_.Stop(); }

 private:
  HotRestartCallbacks MakeCallbacks();
  void OnStep(PeerProcess peer, HotRestartStep step);
  void OnDescriptorUsage(const DescriptorUsage& usage);
  void OnDisconnected(PeerProcess peer, DisconnectReason reason);
  void SyncWithNewer();
  void HandOverToNewer();
  // Starts accepting clients and tells the older process, if there is one, to stop accepting them.
  void StartServing();
  void StartSyncTimeout();
  // Treats sessions as not synchronized until writes that the lost peer did not replicate must have ended.
  void InvalidateSessions();
  void SetQuota(double share);
  // Releases resources that are no longer needed after the handover. Runs again periodically.
  void ReduceQuota();

  LoopClock& clock_;
  const Config& config_;
  Dispatcher& dispatcher_;
  ServingState& serving_state_;
  UpstreamPool& pool_;
  ClientListener& listener_;
  HotRestart hot_restart_;
  CancellableTimer older_sync_timer_;
  CancellableTimer session_sync_timer_;
  CancellableTimer quota_timer_;
  int reported_descriptors_ = 0;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_SERVER_HOT_RESTART_COORDINATOR_HPP_
