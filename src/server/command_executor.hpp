// Executes the dispatcher's commands by calling the upstream pool, the client listener, the registry watch,
// the hot restart coordinator and the log.
#ifndef TULIPYOKE_SRC_SERVER_COMMAND_EXECUTOR_HPP_
#define TULIPYOKE_SRC_SERVER_COMMAND_EXECUTOR_HPP_

#include "src/discovery/registry_watch.hpp"
#include "src/dispatch/dispatcher.hpp"
#include "src/listener/client_listener.hpp"
#include "src/server/hot_restart_coordinator.hpp"
#include "src/upstream/upstream_pool.hpp"

namespace tulipyoke::net {

// Used only on the event loop thread. The constructor arguments must outlive it.
class CommandExecutor {
 public:
  CommandExecutor(Dispatcher& dispatcher, UpstreamPool& pool, ClientListener& listener,
                  discovery::RegistryWatch& registry_watch, HotRestartCoordinator& hot_restart);

  // Executes all pending commands, including those that result from executing others. Must be called after
  // each handler of the event loop, so that the next handler cannot start an operation that this one ended.
  void ExecuteAll();

 private:
  void Execute(const StartAttempt& command);
  void Execute(const StartProbe& command);
  void Execute(const CancelOperation& command);
  void Execute(const SetAddress& command);
  void Execute(const RemoveServer& command);
  void Execute(const CloseIdleConnections& command);
  void Execute(const SendResponse& command);
  void Execute(const RefreshEndpointList& command);
  void Execute(const ReplicateToPeer& command);
  void Execute(const WriteLog& command);
  void Execute(const TraceStep& command);

  Dispatcher& dispatcher_;
  UpstreamPool& pool_;
  ClientListener& listener_;
  discovery::RegistryWatch& registry_watch_;
  HotRestartCoordinator& hot_restart_;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_SERVER_COMMAND_EXECUTOR_HPP_
