// Executes the dispatcher's commands: on the servers' connections, the clients' ones, the watch on the
// registry, the other processes of this router, and the log.
#ifndef TULIPYOKE_SRC_SERVER_COMMAND_EXECUTOR_HPP_
#define TULIPYOKE_SRC_SERVER_COMMAND_EXECUTOR_HPP_

#include "src/exchange/exchange.hpp"
#include "src/net/discovery.hpp"
#include "src/net/front.hpp"
#include "src/net/pool.hpp"
#include "src/server/hot_restart_coordinator.hpp"

namespace tulipyoke::net {

// Used on the event loop's thread only. What it is given must outlive it.
class CommandExecutor {
 public:
  CommandExecutor(Exchange& dispatcher, ServerPool& pool, ClientFront& listener,
                  DiscoveryWatch& registry_watch, HotRestartCoordinator& hot_restart);

  // Executes all commands that there are, also those that come of executing one. To be called after each
  // handler of the event loop: what one handler ended, the next one must not begin.
  void ExecuteAll();

 private:
  void Execute(const StartAttempt& command);
  void Execute(const StartProbe& command);
  void Execute(const EndTicket& command);
  void Execute(const SetAddress& command);
  void Execute(const ForgetServer& command);
  void Execute(const CloseIdleConnections& command);
  void Execute(const AnswerRequest& command);
  void Execute(const RefreshList& command);
  void Execute(const TellPartners& command);
  void Execute(const WriteLog& command);
  void Execute(const WriteTrace& command);

  Exchange& dispatcher_;
  ServerPool& pool_;
  ClientFront& listener_;
  DiscoveryWatch& registry_watch_;
  HotRestartCoordinator& hot_restart_;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_SERVER_COMMAND_EXECUTOR_HPP_
